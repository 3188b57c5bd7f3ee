Feature: The log on disk survives crashes and disk faults

  Scenario: A torn tail is truncated at whatever byte the write stopped
    Given a stored log of 20 entries in one segment
    When the file is truncated at each byte of its last two records in turn
    Then each truncated log loads a prefix of at least 18 entries

  Scenario Outline: Damage before the tail is refused and no entry is dropped
    Given a stored log of 20 entries in one segment
    When the <part> of record <record> is damaged
    Then the log is refused as damaged

    Examples:
      | part     | record |
      | body     | 0      |
      | body     | 10     |
      | length   | 10     |
      | checksum | 10     |

  Scenario: A voter with a full disk refuses all proposals
    Given a stored log of 20 entries in one segment
    When the disk is full and 2 payloads are proposed
    Then each proposal is refused with code 5002
    And a later proposal is refused with code 5002

  # Seen as LOST and CONFIG: a voter stayed out after one refused write.
  Scenario Outline: A voter takes part again once its disk accepts writes
    Given a stored log of 20 entries in one segment
    When the disk accepts <accepted> more bytes and 2 payloads are proposed
    Then each proposal is refused with code 5002
    When 2 seconds pass with a disk that refuses writes
    Then a later proposal is refused with code 5002
    When the disk accepts writes again for 2 seconds
    Then 3 more payloads are accepted
    And the log opens again with the 20 entries and all payloads

    Examples:
      | accepted |
      | 0        |
      | 1        |
      | 12       |

  # A voter that forgets what it has acknowledged may elect a leader without it.
  Scenario Outline: A kill while a snapshot is installed loses no entry
    Given a stored log of 20 entries in segments of 500 bytes
    When the process is killed at each step of installing a snapshot of entry <index> of term 2
    Then each log opens with the 20 entries or with the snapshot alone
    And each log opens again with an entry that was appended

    Examples:
      | index |
      | 10    |
      | 30    |

  Scenario: No record is lost between failures at any byte
    Then hypothesis finds no writes and failures after which a record is missing

  Scenario: Segments that a snapshot covers are removed
    Given a stored log of 50 entries in segments of 500 bytes
    When a snapshot of entry 40 is written
    Then at most 6 segment files are left
    And the log opens with the snapshot and 10 entries

  Scenario: A damaged snapshot is refused
    Given a stored log of 50 entries in segments of 500 bytes
    When a snapshot of entry 40 is written
    And the snapshot is damaged
    Then the log is refused as damaged

  Scenario: Decoders of messages never raise an exception
    Then hypothesis finds no bytes that make a message decoder raise

  Scenario: Unsynced entries are buffered until the sync
    Given a file storage with 3 synced entries of 20000 bytes
    When 3 more entries of 20000 bytes are written without a sync
    Then the file has not grown
    When the storage is synced
    Then the file holds 6 entries

  Scenario: Unsynced entries of a killed process are synced on the next start
    Given a file storage with 3 synced entries of 100 bytes
    When 2 more entries of 100 bytes are left unsynced by a kill
    Then the next start syncs the file and loads 5 entries

  Scenario: Slow syncs are reported in the event log and the metrics
    Given a stored log of 20 entries on a disk that takes 7 ms a sync
    Then one log_load event reports 20 entries, 20 syncs and 140 ms
    And the metrics count 20 writes of kind sync
