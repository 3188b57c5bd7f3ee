Feature: The holder's endpoint loses nothing between the log and the workers

  Scenario: A start that falls into a lapse of the leader's lease comes after it
    Given a holder with a worker
    When the lease of the leader lapses as the start of a task is recorded
    And the lease is renewed 0.5 seconds later
    Then the worker runs the task within 2 seconds
