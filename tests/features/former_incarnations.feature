Feature: What a former incarnation of a worker has said counts for no later one

  Answers to starts and stops do not name the incarnation that gave them, and may
  arrive when the leader already knows the next one.

  # Guards against AVAIL: a task was stopped while the other one was away.
  Scenario: A run that the former incarnation has listed is not available on the next one
    Given a work model with seed 1, 3 workers and no faults
    When 1 seconds pass
    And a job of 2 endless tasks with at most 1 unavailable
    And the worker of one of these tasks announces a restart within 0.74 seconds after its start
    And the host of the other task is to be freed
    Then the other task is not stopped

  # Guards against a new leader that takes another worker at the address of before for a proof.
  Scenario Outline: A late record of a former incarnation does not replace that of the present one
    Given a table with the announcement 3 of incarnation 2 of a worker
    When the announcement <sequence> of its incarnation <incarnation> is recorded
    Then the table holds its announcement <held> of incarnation <of>

    Examples:
      | sequence | incarnation | held | of |
      | 9        | 1           | 3    | 2  |
      | 2        | 2           | 3    | 2  |
      | 4        | 2           | 4    | 2  |
      | 1        | 3           | 1    | 3  |
