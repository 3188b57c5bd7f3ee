Feature: The silence of a worker is no proof of what became of it

  A lease that expires while its worker is silent ends a run. Whether the worker
  went down under it is known once another life of the worker is seen, or once
  the worker answers again.

  Scenario Outline: A job does not fail because the leases of its runs expire
    Given a work model with seed <seed>, 8 workers and no faults
    When 1 seconds pass
    And a job of 4 endless tasks with at most 4 unavailable
    And the worker of its first task is cut off <delay> seconds after each start for <cut> seconds, <count> times
    And 40 seconds pass
    Then all 4 tasks run after more than 4 starts

    Examples:
      | seed | delay | cut | count |
      | 1    | 0.2   | 15  | 3     |
      | 2    | 0.2   | 15  | 4     |
      | 3    | 2     | 30  | 5     |

  Scenario Outline: Jobs do not fail because workers are cut off in turn
    Given a work model with seed <seed>, 30 workers and no faults
    When 3 jobs of 5 long-running tasks are accepted
    And each worker is reachable for 0.2 to 0.5 and cut off for 8 to 16 seconds in turn
    And a job of 5 tasks comes each 2 seconds meanwhile, 15 times
    And 40 seconds pass
    Then no job has failed

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 2    |

  Scenario Outline: Long-running tasks go on after their workers were cut off in series
    Given a work model with seed <seed>, 6 workers and no faults
    When 1 seconds pass
    And a job of 4 long-running tasks is accepted
    And all workers are cut off for 3.9 seconds each 4.3 seconds, 9 times
    And 12 seconds pass
    Then all 4 tasks run after more than 4 starts

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario Outline: The silence of a leader is no crash of its workers
    Given a work model with seed <seed>, 6 workers and no faults
    When 1 seconds pass
    And a job of 4 long-running tasks is accepted
    And the leader is paused for 5 seconds each 6 seconds, 6 times
    And 12 seconds pass
    Then all 4 tasks run after more than 4 starts

    Examples:
      | seed |
      | 21   |
      | 22   |

  Scenario Outline: A task that crashes its workers is given up although they are back late
    Given a work model with seed <seed>, 8 workers and no faults
    And crashed workers return under <names> names
    And crashed workers are down for <down> seconds
    When 1 seconds pass
    And a job of 4 long-running tasks is accepted whose first one crashes its workers
    And 90 seconds pass
    Then the job of the first task has failed after at most 5 crashes

    Examples:
      | seed | names | down |
      | 31   | new   | 8    |
      | 32   | old   | 8    |
      | 33   | new   | 20   |
      | 34   | old   | 20   |

  Scenario: A task is started less and less often while nothing explains the silence of its workers
    Given a work model with seed 35, 8 workers and no faults
    And crashed workers return under old names
    And crashed workers are down for 1000 seconds
    When 1 seconds pass
    And a job of 4 long-running tasks is accepted whose first one crashes its workers
    And 85 seconds pass
    Then the first task was started 5 times

  Scenario Outline: Crashes that a new leader learns of fail their job
    Given a work model with seed <seed>, 8 workers and no faults
    And crashed workers return under new names
    And crashed workers are down for 5 seconds
    When 1 seconds pass
    And a job of 4 long-running tasks is accepted whose first one crashes its workers
    And the leader changes after each of its expired leases for 90 seconds
    Then the job of the first task has failed after at most 5 crashes

    Examples:
      | seed |
      | 41   |
      | 42   |
      | 43   |

  Scenario Outline: A silent worker that is replaced as planned has not crashed
    Given a work model with seed <seed>, 6 workers and no faults
    And tasks run for 4 to 5 seconds
    When 1 seconds pass
    And a job of 1 phases with 1 tasks each is accepted
    And its worker falls silent until a lease expires, then is <planned> and replaced, 6 times
    And 10 seconds pass
    Then every job is completed

    Examples:
      | seed | planned   |
      | 51   | withdrawn |
      | 52   | leaving   |

  Scenario: An announcement alone does not prove that a worker has crashed
    Given a work model with seed 61, 6 workers and no faults
    And tasks run for 4 to 5 seconds
    When 1 seconds pass
    And a job of 1 phases with 1 tasks each is accepted
    And its worker falls silent until a lease expires, then is contradicted by announcements, 6 times
    And 25 seconds pass
    Then every job is completed

  Scenario: The log explains the silence of workers before a job is given up
    Given the log of a modelled leader with 8 workers
    And crashed workers return under new names
    And crashed workers are down for 5 seconds
    When 1 seconds pass
    And a job of 4 long-running tasks is accepted whose first one crashes its workers
    And 60 seconds pass
    Then its log shows the expired leases of the first task, their explanations and the job given up
