Feature: A voter comes back from any failure of a file operation

  # Each operation on a file of the log fails in one play, and others after it.
  Scenario Outline: No failed file operation keeps a voter out or loses a record
    When a voter with segments of <size> bytes meets <faults>
    Then it takes part again each time and keeps what it has acknowledged

    Examples:
      | size | faults                               |
      | 150  | two failures of file operations      |
      | 150  | a row of failures of file operations |
      | 30   | a row of failures of file operations |

  Scenario: A voter whose recovery meets an unexpected error tries again
    When a voter restores a snapshot after a failed sync and meets an error
    Then it takes part again each time and keeps what it has acknowledged
