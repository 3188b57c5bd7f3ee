Feature: A job that was cancelled before it was accepted never runs

  # Seen as UNASKED: a suspended entry process handed in a job whose cancellation was acknowledged.
  Scenario: A job that arrives after its cancellation was acknowledged does not run
    Given a work model with seed 1, 3 workers and no faults
    When 1 seconds pass
    And a caller cancels a job that is not known
    And the job is submitted
    And 5 seconds pass
    Then the caller of the cancellation was told that the job is not known
    And the caller of the submission was told that it was accepted
    And the job was cancelled, has never run and is not pending

  Scenario: A cancellation before the job outlasts a change of the leader and a snapshot
    Given a work model with seed 2, 3 workers and no faults
    When 1 seconds pass
    And a caller cancels a job that is not known
    And the leader changes
    And the job is submitted
    And 5 seconds pass
    Then the job was cancelled, has never run and is not pending

  Scenario: A cancellation stops a job that was accepted while it was being recorded
    Given a work model with seed 3, 3 workers and no faults
    When 1 seconds pass
    And a caller cancels a job that is accepted before the record of that
    And 5 seconds pass
    Then the job was cancelled, has never run and is not pending

  Scenario: A second cancellation of an unknown job is not recorded again
    Given a work model with seed 4, 3 workers and no faults
    When 1 seconds pass
    And a caller cancels a job that is not known
    And a caller cancels a job that is not known
    Then one cancellation was recorded

  Scenario: A job runs whose cancellation is older than the retention time
    Given a work model with seed 5, 3 workers and no faults
    When 1 seconds pass
    And a caller cancels a job that is not known
    And 181 seconds pass
    And the job is submitted
    And 5 seconds pass
    Then the state of the job is completed

  Scenario: A cancellation that is repeated later counts anew
    Given a work model with seed 9, 3 workers and no faults
    When 1 seconds pass
    And a caller cancels a job that is not known
    And 175 seconds pass
    And a caller cancels a job that is not known
    And 10 seconds pass
    And the job is submitted
    And 5 seconds pass
    Then the job was cancelled, has never run and is not pending

  Scenario: Old cancellations are removed with the next one
    Given a work model with seed 10, 3 workers and no faults
    When a caller cancels a job that is not known
    And another unknown job is cancelled 181 seconds later
    Then one cancellation is kept

  Scenario: The number of cancellations that are kept is bounded
    Given a work model with seed 6, 3 workers and no faults
    When 10100 unknown jobs are cancelled
    Then 10000 cancellations are kept, of the jobs that were cancelled last

  Scenario Outline: A cancellation counts for jobs that its caller may access
    Given a work model with seed 7, 3 workers and no faults
    When workspace <canceller> cancels a job that is not known
    And the job of workspace <owner> is accepted
    Then the state of the job is <state>

    Examples:
      | canceller | owner | state     |
      | north     | north | cancelled |
      | north     | south | queued    |
      | nobody    | south | cancelled |

  Scenario: A snapshot of an earlier version has no cancellations
    Given a work model with seed 8, 3 workers and no faults
    When a job table of an earlier version is restored
    Then no cancellations are kept
