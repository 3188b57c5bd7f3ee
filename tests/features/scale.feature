Feature: The load of the leader does not grow with what stays as it is

  Scenario Outline: The leader hears of an announcement only if it tells something new
    Given a table of <workers> workers
    When each worker announces itself 8 times and <change>
    Then the leader hears of <least> to <most> announcements

    Examples:
      | workers | change                | least | most |
      | 1000    | nothing has changed   | 1800  | 2200 |
      | 1000    | it leaves             | 8000  | 8000 |
      | 1000    | it has been restarted | 8000  | 8000 |
      | 1000    | it has more memory    | 8000  | 8000 |
      | 1000    | it has been forgotten | 8000  | 8000 |
      | 30      | nothing has changed   | 240   | 240  |

  # Seen as AVAIL at 3,000 workers, whose leader was seconds late.
  Scenario: A leader that has not read the polls in time stops no task for a drain
    Given a work model with seed 10, 6 workers and no faults
    When a job of 4 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And the leader reads nothing for 2 seconds and then drains the busy workers
    Then 0 tasks are to stop
    When 1 seconds pass
    And the busy workers are to be drained
    Then 1 tasks are to stop

  Scenario Outline: A stop for a drain that was not sent is decided anew
    Given a work model with seed 10, 6 workers and no faults
    When a job of 4 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And the busy workers are to be drained
    And the outcome of the stop is "<first>" and then "<second>"
    Then <count> tasks are to stop

    Examples:
      | first   | second  | count |
      | unsent  | unsent  | 0     |
      | unknown | unsent  | 1     |

  Scenario: The stop of a cancelled task is not withdrawn
    Given a work model with seed 10, 6 workers and no faults
    When a job of 4 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And the busy workers are to be drained
    And its job is cancelled
    And the outcome of the stop is "unsent" and then "unsent"
    Then 4 tasks are to stop
