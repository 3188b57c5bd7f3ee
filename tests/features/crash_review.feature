Feature: What became of silent workers is judged by proof

  A crash that is confirmed may fail a job, and one that is taken back is
  forgotten: neither may follow from what proves nothing.

  Scenario Outline: A crash that is too old to count does not outlive its job
    Given a work model with seed 71, 6 workers and no faults
    When a task comes under which a worker <end> 700 seconds before another one
    And its job is cancelled and forgotten
    And another life of the first worker is recorded
    And 3 seconds pass
    Then no worker is lost under a job

    Examples:
      | end     |
      | crashed |
      | expired |

  Scenario: A pause does not end the isolation of a task
    Given a work model with seed 72, 6 workers and no faults
    When 1 seconds pass
    And a task comes under which 3 workers have fallen silent
    And 10.1 seconds pass
    Then the task has started apart from other starts

  Scenario Outline: A clock that is set back holds up no task
    Given a work model with seed 73, 6 workers and no faults
    When 1 seconds pass
    And a task comes under which 3 workers have fallen silent <ahead> seconds ahead
    And 25 seconds pass
    Then the task has started

    Examples:
      | ahead |
      | 5     |
      | 3600  |

  Scenario: A run that the next life of its worker has started outlives the last one
    Given a work model with seed 74, 6 workers and no faults
    When 1 seconds pass
    And a job of 1 endless tasks with at most 1 unavailable
    And its worker falls silent after each start, 4 times, and each worker restarts just before an order to start
    And 25 seconds pass
    Then no job has failed

  Scenario: An answer to a poll from before an expiry does not take a crash back
    Given a work model with seed 76, 6 workers and no faults
    When 1 seconds pass
    And a job of 1 endless tasks with at most 1 unavailable
    And its worker falls silent until a lease expires, and an older answer to a poll arrives
    And 0.5 seconds pass
    Then a worker is lost under a job

  Scenario Outline: A silent worker that ends as planned does not count as crashed
    Given a work model with seed 75, 6 workers and no faults
    And tasks run for 20 to 30 seconds
    When 1 seconds pass
    And a job of 1 phases with 1 tasks each is accepted
    And its worker falls silent until a lease expires, is <planned> and returns under <names> names after <seconds> seconds
    And 1 seconds pass
    Then no crash is confirmed

    Examples:
      | planned    | names | seconds |
      | withdrawn  | new   | 1       |
      | withdrawn  | new   | 1.1     |
      | leaving    | new   | 1       |
      | leaving    | new   | 15      |
      | maintained | new   | 1       |
      | maintained | new   | 15      |
      | maintained | old   | 1       |
      | maintained | old   | 15      |

  Scenario Outline: A crash is confirmed by each proof alone, and by nothing less
    Given a work model with seed 77, 6 workers and no faults
    When 1 seconds pass
    And a job of 1 endless tasks with at most 1 unavailable
    And its worker is silent until a lease expires, and then <seen>
    And 3 seconds pass
    Then <count> lost worker is confirmed

    Examples:
      | seen                                         | count |
      | is announced under another name              | 0     |
      | returns elsewhere under its name             | 1     |
      | another one answers that has not announced   | 1     |
      | returns while the first explanation is lost  | 1     |
