Feature: The leader's endpoint loses nothing between the log and the workers

  Scenario: A start that is recorded while the leader's lease is expired is sent later
    Given a leader with a worker
    When the leader's lease expires while the start of a task is recorded
    And the lease is renewed 0.5 seconds later
    Then the worker runs the task within 2 seconds

  Scenario: A job that another process forwards to the log is started
    Given a leader with a worker
    When another process forwards a job to its log
    Then the worker runs the task within 2 seconds

  Scenario: A job is started although its proposer was cancelled before the commit
    Given a leader with a worker
    When a job is recorded after its proposer was cancelled
    Then the worker runs the task within 2 seconds

  Scenario: A previous leader does not end the runs of the next leader
    Given a leader with a worker
    When its term ends and a start by the next leader is applied
    Then it does not end that run within 0.3 seconds

  Scenario: The cost of an event does not grow with the number of workers
    Given a leader with a worker
    When it handles an event without effects with 1 and then with 500 more workers
    Then that executes at most 1.5 times as many lines with more workers

  Scenario: A poll that waits for the record of an end does not check continuously
    Given a leader with a worker
    When the end of a run takes 0.5 seconds to be recorded
    Then its poll checks at most 20 times a second whether it may start

  Scenario: Records of events that are handled together share a log entry
    Given a leader with a worker
    When 20 events with 3 records each are handled together
    Then their records are applied in order from 1 entry

  Scenario: Records of many events are split into entries of limited size
    Given a leader with a worker
    When 100 events with 3 records each are handled together
    Then their records are applied in order from 5 entries
