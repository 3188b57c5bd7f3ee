Feature: The cost of scheduling depends on changes, not on the backlog

  Scenario: The cost of placement is logged
    Given a full pool of 6 workers and 40 jobs for it
    When runs end and others start for a second
    Then one log line reports 19 passes with their phases and placements

  Scenario: The log shows whether a late job waited or ran long
    Given a work model with seed 3, 3 workers and no faults
    When 1 seconds pass
    And a job waits 2.5 seconds for free resources and then ends
    Then the log line of its end shows that it started 2.5 seconds late

  Scenario: The cost of a run end does not grow with the waiting jobs
    Given a full pool of 12 workers with 60 jobs and with 960
    Then the end of a run costs at most 1.5 times as much in the second

  Scenario: The cost of a tick does not grow with waiting or ended jobs
    Given a full pool of 12 workers with 180 jobs and with 1440
    When a third of the jobs is cancelled
    Then a tick costs at most 1.5 times as much in the second

  Scenario: The cost of a cancellation does not grow with the pool
    Given full pools of 20 and of 800 workers with 1200 jobs each
    Then the cancellation of a job costs at most 1.5 times as much in the second

  Scenario: The cost of a run end does not grow with the pool
    Given full pools of 20 and of 800 workers with 1200 jobs each
    Then the end of a run costs at most 1.5 times as much in the second

  Scenario: The cost of a tick does not grow with the pool
    Given full pools of 30 and of 300 workers with 600 jobs each
    Then a tick costs at most 1.5 times as much in the second
