Feature: Workspaces stay within their quotas and share full workers

  The model checks at each start what the workspace runs on all workers.

  Scenario: A workspace at its limit holds nobody else back
    Given a workspace model with seed 1 and 3 workers
    And the workspace north with weight 1 and at most 6000 of CPU
    And the workspace south with weight 1 and at most 0 of CPU
    When 80 jobs of 2 tasks of 3000 are accepted for north
    And 4 jobs of 2 tasks of 3000 are accepted for south
    And 3 seconds pass in the model
    Then south has 4 completed jobs
    And north has had 6000 of CPU in use
    And the waiting work of north asks for no more than its limit

  Scenario: A task that cannot fit beside long-running ones holds no other back
    Given a workspace model with seed 11 and 3 workers
    And the workspace north with weight 1 and at most 6000 of CPU
    When 1 jobs of 1 endless tasks of 3000 are accepted for north
    And 1 seconds pass in the model
    And 1 jobs of 1 tasks of 5000 are accepted for north
    And 0.1 seconds pass in the model
    And 6 jobs of 1 tasks of 1000 are accepted for north
    And 6 seconds pass in the model
    Then north has 6 completed jobs

  Scenario: A quota is kept over a change of the leader before a start is recorded
    Given a workspace model with seed 2 and 3 workers
    And the workspace north with weight 1 and at most 9000 of CPU
    When 10 jobs of 3 tasks of 3000 are accepted for north
    And 0.6 seconds pass in the model
    And the leader of the model changes 20 times within 5 seconds
    And 30 seconds pass in the model
    Then north has 10 completed jobs

  Scenario: A quota that falls while starts are under way starts nothing new
    Given a workspace model with seed 3 and 3 workers
    And the workspace north with weight 1 and at most 0 of CPU
    When 1 jobs of 12 endless tasks of 3000 are accepted for north
    And 2 seconds pass in the model
    And 1 jobs of 12 tasks of 3000 are accepted for north
    And the limit of north falls to 6000 of CPU
    And 5 seconds pass in the model
    Then north runs 36000 of CPU
    And north has 0 completed jobs
    When the limit of north rises to 42000 of CPU
    And 12 seconds pass in the model
    Then north has 1 completed jobs

  Scenario: The inherited runs of a silent worker count until they have ended
    Given a workspace model with seed 4 and 3 workers
    And the workspace north with weight 1 and at most 9000 of CPU
    When 1 jobs of 3 endless tasks of 3000 are accepted for north
    And 2 seconds pass in the model
    And all workers with runs of north fall silent
    And the leader of the model changes 1 times within 1 seconds
    And 1 jobs of 3 tasks of 3000 are accepted for north
    And 2 seconds pass in the model
    Then north has 9000 of CPU reserved

  Scenario Outline: A job that never fits its workspace is refused
    Given the workspace north with at most 6000 of CPU
    Then a job of <count> <kind> of <cpu> of CPU for north is <outcome>

    Examples:
      | count | kind         | cpu  | outcome  |
      | 9     | tasks        | 6000 | accepted |
      | 1     | tasks        | 6001 | refused  |
      | 2     | gang members | 3000 | accepted |
      | 3     | gang members | 3000 | refused  |

  Scenario: A hot workspace on full workers takes nothing from the others
    Given a workspace model with seed 5 and 3 workers
    And the workspace hot with weight 2 and at most 0 of CPU
    And the workspace north with weight 2 and at most 0 of CPU
    And the workspace south with weight 2 and at most 0 of CPU
    When hot sends 20 and the others 2 jobs a second of 2 tasks of 3000 for 10 seconds
    Then at least 0.9 of the jobs of north and south end within 3 seconds
    And hot has more completed jobs than north

  Scenario: Full workers are shared by weight
    Given a workspace model with seed 6 and 3 workers
    And the workspace north with weight 1 and at most 0 of CPU
    And the workspace south with weight 3 and at most 0 of CPU
    When 200 jobs of 2 tasks of 3000 are accepted for north
    And 200 jobs of 2 tasks of 3000 are accepted for south
    And 8 seconds pass in the model
    Then south has between 2.5 and 3.5 times the completed jobs of north

  Scenario: Jobs that are late beyond all use yield to late ones
    Given a workspace model with seed 8 and 3 workers
    And the workspace north with weight 100 and at most 0 of CPU
    When 60 jobs of 1 tasks of 16000 are accepted for north
    And 6 seconds pass in the model
    And 25 jobs of 1 tasks of 16000 are accepted for north
    And 30 seconds pass in the model
    Then at least 0.8 of the last 25 jobs end within 9 seconds
    And north has 85 completed jobs

  Scenario: Jobs that would just fail to make it leave the room to others
    Given a workspace model with seed 10 and 6 workers
    And the workspace north with weight 100 and at most 0 of CPU
    When north sends 10 and the others 0 jobs a second of 4 tasks of 4000 for 20 seconds
    And 20 seconds pass in the model
    Then north has 200 completed jobs
    And at least 0.3 of the last 200 jobs end within 3 seconds

  Scenario: A new leader knows which jobs are beyond the promised rate
    Given a workspace model with seed 9 and 3 workers
    And the workspace north with weight 2 and at most 500 of CPU
    When 30 jobs of 1 endless tasks of 400 are accepted for north
    And 3 seconds pass in the model
    And 6 jobs of 1 endless tasks of 400 are accepted for north
    Then the list of workspaces shows north with
      | field       | shown |
      | open_jobs   | 36    |
      | beyond_jobs | 20    |
    When the leader of the model changes 1 times within 1 seconds
    Then the list of workspaces shows north with
      | field       | shown |
      | open_jobs   | 36    |
      | beyond_jobs | 20    |

  Scenario: Operators see usage, limits, shares and refusals by cause
    Given a workspace model with seed 7 and 3 workers
    And the workspace north with weight 2 and at most 6000 of CPU
    When 5 jobs of 2 tasks of 3000 are accepted for north
    And 0.3 seconds pass in the model
    And a job of north is refused for its size
    Then the list of workspaces shows north with
      | field        | shown |
      | cpu          | 6000  |
      | max_cpu      | 6000  |
      | share        | 0.0625 |
      | open_jobs    | 5     |
      | waiting_jobs | 4     |
      | is_held      | True  |
      | refusals     | {'quota_too_small': 1} |
    And the workspace south is refused with code 2112

  Scenario: Manifests, faults and takeovers in any order pass no quota
    Then no quota is passed in 200 random simulations of 50 steps
