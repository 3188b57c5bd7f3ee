Feature: A task that crashes its workers is given up

  A task may crash each worker that starts it. The model checks the budget: it
  must not be started three times more after three workers have crashed.

  Scenario Outline: A task that crashes each worker that starts it is given up
    Given a work model with seed <seed>, 6 workers and no faults
    And crashed workers return under <names> names
    When 1 seconds pass
    And a job of 4 <kind> tasks is accepted whose first one crashes its workers
    And 6 jobs of 2 phases with 5 tasks each are accepted
    And 60 seconds pass
    Then the job of the first task has failed after at most 3 crashes
    And every other job is completed

    Examples:
      | seed | kind         | names |
      | 31   | short        | new   |
      | 32   | short        | old   |
      | 33   | long-running | new   |
      | 34   | long-running | old   |

  Scenario Outline: Crashes count across changes of the leader
    Given a work model with seed <seed>, 6 workers and no faults
    And crashed workers return under new names
    When 1 seconds pass
    And a job of 4 short tasks is accepted whose first one crashes its workers
    And the leader changes every <pause> seconds for <total> seconds
    And 25 seconds pass
    Then the job of the first task has failed after at most 5 crashes

    Examples:
      | seed | pause | total |
      | 35   | 9     | 72    |
      | 50   | 6.5   | 90    |
      | 51   | 6.7   | 90    |
      | 52   | 6.9   | 90    |

  Scenario Outline: A task that crashes its workers after a while is given up
    Given a work model with seed <seed>, 6 workers and no faults
    And crashed workers return under new names
    And deadly tasks crash their worker after <delay> seconds
    When 1 seconds pass
    And a job of 4 long-running tasks is accepted whose first one crashes its workers
    And 90 seconds pass
    Then the job of the first task has failed after at most 5 crashes

    Examples:
      | seed | delay |
      | 53   | 0.3   |
      | 54   | 0.8   |
      | 55   | 3     |

  Scenario Outline: Tasks do not fail because their workers are cut off
    Given a work model with seed <seed>, 6 workers and no faults
    When each worker is reachable for <up> and cut off for <cut> seconds in turn
    And a job of 5 tasks comes each 2 seconds meanwhile, 30 times
    And 40 seconds pass
    Then every job is completed

    Examples:
      | seed | up         | cut    |
      | 0    | 1 to 3     | 4 to 6 |
      | 1    | 1 to 3     | 4 to 6 |
      | 2    | 0.5 to 1.5 | 4 to 6 |
      | 3    | 0.5 to 1.5 | 4 to 6 |
      | 5    | 2 to 6     | 4 to 8 |

  Scenario Outline: An isolated task does not wait for good on a busy pool
    Given a work model with seed <seed>, 6 workers and no faults
    When 80 short tasks come each second for 5 seconds
    And a task comes under which <crashes> workers have crashed
    And 80 short tasks come each second for 10 seconds
    Then the task has started

    Examples:
      | seed | crashes |
      | 1    | 1       |
      | 2    | 2       |
      | 3    | 2       |

  Scenario Outline: Tasks that were lost beside a deadly one are done soon
    Given a work model with seed <seed>, 6 workers and no faults
    And crashed workers return under new names
    When 1 seconds pass
    And <deadly> deadly jobs and <jobs> jobs of 1 phases with 5 tasks each come
    And <seconds> seconds pass
    Then every other job is completed
    And no other task was started more than 3 times

    Examples:
      | seed | deadly | jobs | seconds |
      | 36   | 1      | 1    | 10      |
      | 37   | 3      | 6    | 20      |

  Scenario Outline: Tasks do not fail because workers crash for other reasons
    Given a work model with seed <seed>, 6 workers and no faults
    And crashed workers return under <names> names
    When a worker crashes each second while a job comes each second, 40 times
    And 40 seconds pass
    Then every job is completed

    Examples:
      | seed | names |
      | 37   | new   |
      | 38   | old   |

  Scenario Outline: A worker that leaves as planned does not count as crashed
    Given a work model with seed 39, 6 workers and no faults
    And crashed workers return under old names
    When 1 seconds pass
    And a job of 1 phases with 2 tasks each is accepted
    And the worker of its first task is <planned> just before its end, 5 times
    And 10 seconds pass
    Then every job is completed
    And no crash was counted

    Examples:
      | planned   |
      | withdrawn |
      | reserved  |
      | leaving   |
