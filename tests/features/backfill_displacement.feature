Feature: Backfill yields its worker to a waiting task that serves requests

  # Seen as LOST: with backfill on every other worker, a serving task whose worker had crashed never ran again.
  Scenario Outline: A serving task that has lost its worker runs again beside workers full of backfill
    Given a work model with seed <seed>, 6 workers and no faults
    When 1 seconds pass
    And 2 serving tasks run, and 4 backfill tasks on all other workers
    And the worker of a serving task is partitioned
    Then both serving tasks run within 8 seconds
    And 1 backfill task has been stopped

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A serving task that has lost its worker runs again after a change of the leader
    Given a work model with seed 4, 6 workers and no faults
    When 1 seconds pass
    And 2 serving tasks run, and 4 backfill tasks on all other workers
    And 15 seconds pass
    And the worker of a serving task is partitioned
    And the leader changes
    Then both serving tasks run within 9 seconds

  Scenario: Backfill does not take a vacated worker again
    Given a work model with seed 5, 3 workers and no faults
    When 1 seconds pass
    And 3 backfill tasks run on all workers
    And a job with 1 serving task is accepted
    And 20 seconds pass
    Then the serving task has started once
    And 1 backfill task has been stopped

  Scenario: Backfill is stopped only while enough of its phase is available
    Given a work model with seed 6, 3 workers and no faults
    When 1 seconds pass
    And 3 backfill tasks of which 1 may be unavailable run on all workers
    And a job with 2 serving tasks is accepted
    And 20 seconds pass
    Then 1 backfill task has been stopped

  Scenario Outline: Backfill goes on where its stop would not help
    Given a work model with seed 7, 3 workers and no faults
    When 1 seconds pass
    And 3 backfill tasks run on all workers
    And a job with a serving task that <needs> is accepted
    And 10 seconds pass
    Then 0 backfill tasks have been stopped

    Examples:
      | needs                   |
      | is larger than a worker |
      | requires another label  |

  # A paused task left its vacated worker to the backfill, which was stopped again and again.
  Scenario: Backfill is not stopped for a serving task that is paused
    Given a work model with seed 8, 3 workers and no faults
    When 1 seconds pass
    And 3 backfill tasks run on all workers
    And a job with 1 serving task is accepted whose task is paused
    And 5 seconds pass
    Then 0 backfill tasks have been stopped
