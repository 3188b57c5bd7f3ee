Feature: Silence proves nothing about workers and their tasks

  Scenario: An answer that waited for a paused leader proves no life since
    Given a work model with seed 63, 1 workers and no faults
    And runs that take 60 seconds
    When 1 seconds pass
    And a job of 1 phases with 1 tasks each is accepted
    And the answer to a poll right after its start waits for 5 seconds
    Then its run has not outlived its start
    And the worker accepts no new work
