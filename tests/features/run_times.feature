Feature: Run times are learned from the runs that are done

  Scenario Outline: Learned run times are closer than estimates that are off
    Given 400 drawn jobs whose estimates are off by up to <off>, seed <seed>
    When the run time of each is estimated before its end is learned
    Then the median error is below <share> of that of the declared estimates

    Examples:
      | seed | off | share |
      | 11   | 0.9 | 0.85  |
      | 12   | 0.5 | 1.0   |

  Scenario: Estimates that are right are believed
    Given 400 drawn jobs whose estimates are off by up to 0.1, seed 13
    When the run time of each is estimated before its end is learned
    Then the median error is below 1.1 of that of the declared estimates

  Scenario: A queue that changes its nature is known after as many jobs as before
    Given 100 jobs estimated at 1 s that run 1 s
    When 24 jobs estimated at 1 s run 4 s
    Then a job estimated at 1 s is expected to run 2.5 to 4.5 s

  Scenario: A wrong estimate costs one job and never its queue
    Given 30 jobs estimated at 1 s that run 1 s
    When one job of 500 tasks estimated at 1 s runs 300 s
    Then a job estimated at 1 s is expected to run 0.9 to 1.1 s

  Scenario: A queue of which nothing is known keeps its estimates
    Given 30 jobs estimated at 1 s that run 4 s
    Then a job of another queue estimated at 1 s is expected to run 1 s

  Scenario: The memory is bounded
    When jobs of 3000 images are done
    Then at most 1024 kinds of steps are in memory

  Scenario: A new leader learns the run times from the job table
    Given a work model with seed 14 that learns run times and no faults
    When 20 jobs of 1 phases with 2 tasks each are accepted
    And 60 seconds pass
    And the leader changes
    Then the new leader expects the run times that the previous one did
    And they are closer to the runs than the estimate of 1 s
