Feature: Orders meant for a former incarnation of a worker break no guarantee

  A worker that is back under its id takes orders that were meant for its former
  incarnation, late or not, and knows nothing of before.

  Scenario: The log names a run that a worker has started unexpectedly
    Given a work model with seed 3, 3 workers and no faults
    And a log of the leader
    When 1 seconds pass
    And a job of 2 endless tasks with at most 1 unavailable
    And 1 seconds pass
    And every job is cancelled
    And 6 seconds pass
    And a worker executes run 9 of its first task by a late order
    And 1 seconds pass
    Then the log names run 9 of its first task as unexpected once
