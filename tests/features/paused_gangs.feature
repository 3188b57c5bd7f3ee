Feature: A gang is paused and started as a whole

  Scenario: A gang starts as a whole after the pause of one of its members
    Given a work model with seed 71, 6 workers and no faults
    When 1 seconds pass
    And a gang of 3 tasks comes under whose first one 3 workers fell silent
    And 8 seconds pass
    Then no task of the gang has started
    When 4 seconds pass
    Then each task of the gang was started once
