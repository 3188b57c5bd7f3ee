Feature: Starts respect the resources that a worker has now

  The resources of a worker may shrink below what its runs use, and grow again.
  The model checks that no start exceeds them a second later.

  Scenario Outline: No task starts on resources that are gone
    Given a work model with seed <seed>, 1 workers and no faults
    When 1 seconds pass
    And the worker shrinks to 4000 thousandths of a core
    And <change>
    And a job of 1 phases with 5 tasks each is accepted
    And 2 seconds pass
    Then the worker has run at most 1 task at a time
    And every job is running

    Examples:
      | seed | change             |
      | 41   | 1 seconds pass     |
      | 42   | the leader changes |

  Scenario: Tasks start on resources that a worker has again
    Given a work model with seed 43, 1 workers and no faults
    When 1 seconds pass
    And the worker shrinks to 2000 thousandths of a core
    And a job of 1 phases with 5 tasks each is accepted
    And 3 seconds pass
    And the worker grows to 16000 thousandths of a core
    And 4 seconds pass
    Then every job is completed

  Scenario: An unanswered start is not sent again if its resources are gone
    Given a work model with seed 44, 1 workers and no faults
    When 1 seconds pass
    And the worker ignores starts
    And a job of 1 phases with 5 tasks each is accepted
    And 0.5 seconds pass
    And the worker shrinks to 4000 thousandths of a core
    And 1.2 seconds pass
    And the worker executes starts again
    And 30 seconds pass
    Then the worker has run at most 1 task at a time
    And every job is completed
