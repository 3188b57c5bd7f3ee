Feature: The log on disk survives what disks do

  Scenario: A torn tail is cut at whatever byte the write stopped
    Given a stored log of 20 entries in one segment
    When the file is cut at each byte of its last two records in turn
    Then each cut leaves a log whose entries are a prefix, at least 18 long

  Scenario Outline: Damage elsewhere is refused and nothing is dropped
    Given a stored log of 20 entries in one segment
    When the <part> of record <record> is damaged
    Then the log is refused as damaged

    Examples:
      | part     | record |
      | body     | 0      |
      | body     | 10     |
      | length   | 10     |
      | checksum | 10     |

  Scenario: A full disk stops the voter and is not tried again
    Given a stored log of 20 entries in one segment
    When the disk is full and 2 payloads are proposed
    Then each proposal is refused with code 5002
    And a later proposal is refused with code 5002

  Scenario: Old segments go once a snapshot covers them
    Given a stored log of 50 entries in segments of 500 bytes
    When a snapshot of entry 40 is written
    Then at most 6 segment files are left
    And the log opens with the snapshot and 10 entries

  Scenario: A damaged snapshot is refused
    Given a stored log of 50 entries in segments of 500 bytes
    When a snapshot of entry 40 is written
    And the snapshot is damaged
    Then the log is refused as damaged

  Scenario: Decoders of peers' messages never fail otherwise than by a code
    Then hypothesis finds no bytes that break the decoders of messages

  Scenario: What is not synced reaches the file in one piece
    Given a file storage with 3 synced entries of 20000 bytes
    When 3 more entries of 20000 bytes are written without a sync
    Then the file has not grown
    When the storage is synced
    Then the file holds 6 entries

  Scenario: What a killed process wrote without a sync is synced at the start
    Given a file storage with 3 synced entries of 100 bytes
    When 2 more entries of 100 bytes are left without a sync by a kill
    Then the next start syncs the file before it counts 5 entries

  Scenario: The time that a slow disk takes shows in the log and the metrics
    Given a stored log of 20 entries on a disk that takes 7 ms a sync
    Then the load of the log names 20 entries, 20 syncs and 140 ms
    And the metrics count 20 writes of kind sync
