Feature: The holder's endpoint loses nothing between the log and the workers

  Scenario: A start that falls into a lapse of the leader's lease comes after it
    Given a holder with a worker
    When the lease of the leader lapses as the start of a task is recorded
    And the lease is renewed 0.5 seconds later
    Then the worker runs the task within 2 seconds

  Scenario: A job that another process forwards to the log is started
    Given a holder with a worker
    When another process forwards a job to its log
    Then the worker runs the task within 2 seconds

  Scenario: A job is started though its proposer gave up before it was recorded
    Given a holder with a worker
    When a job is recorded after its proposer gave up
    Then the worker runs the task within 2 seconds

  Scenario: A process that led says nothing of the runs of the next leader
    Given a holder with a worker
    When its term is over and a start of the next leader is applied
    Then it says nothing of that run for 0.3 seconds

  Scenario: An event costs no more on a large site
    Given a holder with a worker
    When it has nothing to carry out with 1 and then with 500 more workers
    Then that costs at most 1.5 times as much with more workers

  Scenario: A look that waits for the record of an end does not ask for it
    Given a holder with a worker
    When the end of a run takes 0.5 seconds to be recorded
    Then its look asks at most 20 times a second whether it may go on

  Scenario: Records of events that come together share an entry of the log
    Given a holder with a worker
    When 20 events with 3 records each come together
    Then their records are applied in order from 1 entry

  Scenario: Records of a flood of events come in entries of a bounded size
    Given a holder with a worker
    When 100 events with 3 records each come together
    Then their records are applied in order from 5 entries
