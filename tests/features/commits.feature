Feature: Commits leave the event loop of the leader free for other work

  A sync to disk blocks the event loop. The clock is simulated: only timers
  and disk syncs advance it.

  Scenario: A stream of proposals does not saturate the event loop with syncs
    Given a group on a disk that takes 6 ms a sync
    When 800 proposals per second arrive for 2 seconds
    Then syncs take at most 30 percent of the time
    And each proposal is committed within 50 ms

  Scenario: A proposal after an idle period waits only for its own sync
    Given a group on a disk that takes 6 ms a sync
    When 2 proposals per second arrive for 3 seconds
    Then each proposal is committed within 7 ms

  Scenario: A proposal decided in one term is not written in the next
    Given a group on a disk that takes 6 ms a sync
    When another voter leads before the batch of an earlier term is written
    Then it is refused with code 5003 and not forwarded

  # The decisions of a leader would wait for a minute, and its workers with them.
  Scenario: A proposal that cannot be encoded holds up no other
    Given a group on a disk that takes 6 ms a sync
    When 3 proposals are made at once of which the second cannot be encoded
    Then its proposer gets the error and the other 2 are committed within 50 ms

  Scenario: A slow disk delays no commit much beyond its syncs
    Given a group on a disk that takes 100 ms a sync
    When 100 proposals per second arrive for 2 seconds
    Then each proposal is committed within 250 ms

  Scenario: Large entries trigger a snapshot before the log has many entries
    Given a group on a disk that takes 6 ms a sync
    When 100 proposals of 100000 bytes are committed
    Then at most 8500000 bytes of entries follow the snapshot

  Scenario: An unexpected error in one batch loses no other batch
    Given a committer whose first encoding and first handling fail
    When 3 batches that share an entry are added
    Then the entry is proposed again and the other 2 batches are handled
