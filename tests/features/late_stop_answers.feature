Feature: Answers and refusals of a former incarnation count for no later one

  Answers to stops do not name the incarnation that gave them, and a stop is sent
  again before its first answer has come.

  # Guards against UNASKED: a cancelled task ran on, and nothing stopped it.
  Scenario: A stop that the former incarnation has confirmed is sent to the next one as well
    Given a work model with seed 2, 1 workers and no faults
    When 1 seconds pass
    And the first worker ignores starts from now on
    And a job of 1 endless tasks with at most 1 unavailable
    And 1 seconds pass
    And the job is cancelled and the stop of its task has no answer yet
    And its worker restarts and executes a start of before
    And the former incarnation has confirmed the stop
    And 3 seconds pass
    Then its worker runs nothing

  # Guards against TWICE: the runs of a living worker were given up.
  Scenario: An answer to a stop of before from another worker gives up no runs
    Given a work model with seed 3, 2 workers and no faults
    When 1 seconds pass
    And the stop of an unknown run on each worker has no answer yet
    And all workers restart
    And a job of 2 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And the stop of an unknown run on each worker has no answer yet
    And another worker has answered the stops of before
    And 3 seconds pass
    Then each of the 2 tasks was started once and runs

  # Guards against LOST: a worker got no work until the next change of leaders.
  Scenario: A worker that rejected the leader before its restart gets work after it
    Given a work model with seed 4, 1 workers and no faults
    When 1 seconds pass
    And its worker has seen a higher token than those of the leader
    And 1 seconds pass
    And all workers restart
    And a job of 1 endless tasks with at most 1 unavailable
    And 3 seconds pass
    Then each of the 1 tasks was started once and runs
