Feature: Silence proves nothing about workers and their tasks

  # LOST counts a job that waits for 3 seconds beside capacity for it.
  Scenario Outline: Tasks of silent workers do not wait beside free workers
    Given a work model with seed <seed>, 6 workers and no faults
    And runs that take 60 seconds
    When 1 seconds pass
    And <jobs> jobs of one small task come
    And their workers fall silent for good right after the starts
    And the leases expire and 3 seconds pass
    Then every task runs on another worker

    Examples:
      | seed | jobs |
      | 61   | 8    |
      | 62   | 24   |
      | 64   | 40   |

  Scenario: An answer that waited for a paused leader proves no life since
    Given a work model with seed 63, 1 workers and no faults
    And runs that take 60 seconds
    When 1 seconds pass
    And a job of 1 phases with 1 tasks each is accepted
    And the answer to a poll right after its start waits for 5 seconds
    Then its run has not outlived its start
    And the worker accepts no new work
