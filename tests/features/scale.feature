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
