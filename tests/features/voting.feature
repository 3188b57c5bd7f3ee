Feature: Raft voters agree on one log despite failures

  The network is simulated in memory from a seed; the consensus code is that of
  the daemon. Every time step checks three invariants: the entries applied by
  any two voters agree up to the shorter log, at most one voter serves reads,
  and no voter has a higher commit index than that one.

  Scenario: A leader isolated by a long network partition is replaced
    Given 5 voters with seed 1
    When 30 payloads are proposed
    And the leader is isolated for 60 seconds
    Then another voter leads in a newer term and the old leader has stepped down
    When 30 payloads are proposed
    And the partition is healed for 5 seconds
    Then every voter holds every accepted payload once, in the same order

  Scenario: A one-way partition of a follower does not depose the leader
    Given 3 voters with seed 2
    When 10 payloads are proposed
    And the leader's messages to one follower are dropped for 30 seconds
    Then the same voter leads in the same term

  Scenario: A second voter fails right after the first was replaced
    Given 3 voters with seed 3
    When 50 payloads are proposed
    And a follower loses its disk and is replaced by a new voter
    And another follower fails right after that
    And 10 payloads are proposed
    Then 10 of them are accepted
    And the running voters hold every accepted payload once, in the same order

  Scenario: A voter that restarts with a wiped disk does not vote
    Given 3 voters with seed 4
    When 50 payloads are proposed
    And a follower restarts with a wiped disk and a new voter ID
    And the other follower is isolated for 10 seconds
    And 10 payloads are proposed
    Then 0 of them are accepted

  Scenario: A failed sync stops the voter without losing accepted payloads
    Given 3 voters with seed 5
    When 20 payloads are proposed
    And the leader's disk fails to sync and 5 payloads are proposed
    Then the leader has stopped
    When 20 payloads are proposed
    Then 20 of them are accepted
    And the running voters hold every accepted payload once, in the same order

  # Seen as LOST and CONFIG: a voter stayed out after one refused write.
  Scenario: Voters whose disks refused writes one after the other go on
    Given 3 voters with seed 15
    When 20 payloads are proposed
    And each disk but the last refuses writes for 5 seconds while 5 payloads are proposed
    And 10 payloads are proposed
    Then 10 of them are accepted
    And every voter holds every accepted payload once, in the same order

  # Seen as LOST: no majority after the next loss, until all had restarted.
  Scenario: A voter whose disk refused writes makes up for the loss of another
    Given 3 voters with seed 16
    When 20 payloads are proposed
    And a follower's disk refuses writes for 4 seconds while 5 payloads are proposed
    And a follower loses its disk and is replaced by a new voter
    And 10 payloads are proposed
    Then 10 of them are accepted
    And the running voters hold every accepted payload once, in the same order

  Scenario: A leadership transfer completes within a second
    Given 3 voters with seed 6
    When 20 payloads are proposed
    And the leadership is transferred to a follower
    Then that follower leads within 1 seconds

  # The leader kept its term, and served nobody for the rest of it.
  Scenario: Some voter serves again after a transfer whose request was lost
    Given 3 voters with seed 17
    When 20 payloads are proposed
    And the leadership is transferred while all transfer requests are lost
    Then some voter may serve reads within 3 seconds

  # Fencing tokens that its scheduler had issued were issued again.
  Scenario: A leader whose disk refused a write for a moment gives up its term
    Given 3 voters with seed 18
    When 20 payloads are proposed
    And the leader's disk refuses writes for 0.3 seconds
    Then some voter may serve reads within 3 seconds
    And no voter leads in the term of that refusal

  Scenario: A partitioned voter is sent few entries, and the missing ones once
    Given 3 voters with seed 8 that write no snapshot
    When a follower is partitioned while 1500 payloads are proposed in 3 seconds
    Then it was sent fewer than 500 entries
    When the partition heals and 1000 payloads are proposed in 2 seconds
    Then it holds all payloads and was sent fewer than 3000 entries since

  Scenario: Snapshot chunks are sent without waiting for each answer
    Given 3 voters with a snapshot of 24 chunks
    When the leader replicates to a new learner
    Then it holds all payloads in less than 24 round trips

  Scenario: A learner stays caught up while the leader's event loop is slow
    Given 3 voters with seed 11 that write no snapshot
    When the leader replicates to a new learner
    And the leader's event loop runs only every 0.26 seconds
    And 6800 payloads are proposed in 4 seconds
    Then the new learner has caught up

  Scenario: A snapshot that is being sent is not replaced under load
    Given 3 voters with a snapshot of 24 chunks
    When the leader's event loop runs only every 0.26 seconds
    And the leader replicates to a new learner
    And 48 payloads are proposed in 2.4 seconds
    Then the new learner has caught up

  Scenario: Entries that a learner still needs are not compacted
    Given 3 voters with seed 12 that write a snapshot every 6000 entries
    When 5500 payloads are proposed in 1 seconds
    And the leader's event loop runs only every 0.26 seconds
    And the leader replicates to a new learner
    And 3400 payloads are proposed in 2 seconds
    Then the new learner has caught up
    And it was sent no snapshot

  # A message larger than its receiver accepts closes the connection.
  Scenario: A voter that lost its disk receives a log of large entries
    Given 3 voters with seed 13 that write no snapshot
    And the links carry messages of at most 1 MiB
    When 40 payloads of 140000 bytes are proposed
    And a follower loses its disk and is replaced by a new voter
    And another follower fails right after that
    And 10 payloads are proposed
    Then 10 of them are accepted
    And the running voters hold every accepted payload once, in the same order

  Scenario: Few bytes of large entries are in flight to a slow voter
    Given 3 voters with seed 14 that write no snapshot
    When 400 payloads of 140000 bytes are proposed
    And the leader's event loop runs only every 0.26 seconds
    And the leader replicates to a new learner
    Then at most 2 MiB are in flight to it in any of 20 seconds
    And the new learner has caught up

  Scenario: A payload that no message can carry is refused
    Given a voter that leads alone
    When a payload of 17000000 bytes and one of 10 bytes are proposed
    Then the first is refused with code 1003 and the second is accepted

  Scenario: A second concurrent change of the voters is refused
    Given 3 voters with seed 7
    When a voter is added and another removed at once
    Then the second change is refused with code 5004

  Scenario: A new leader changes the voters before it has committed an entry
    Given 4 voters with seed 9
    When the leader is partitioned from the others and adds a voter
    And a new leader removes the old leader before it has committed an entry
    And 5 payloads are proposed
    And only the old leader, the new voter and one other voter can communicate
    And the partition is healed for 5 seconds
    Then the running voters hold every accepted payload once, in the same order

  Scenario: A snapshot never discards acknowledged entries
    Given the random run with seed 20
    Then each run ended with every accepted payload once, in the same order

  Scenario Outline: Random crashes, partitions, message loss and transfers
    Given random runs with seeds from <first> to <last>
    Then each run ended with every accepted payload once, in the same order

    Examples:
      | first | last |
      | 1000  | 1029 |
      | 2000  | 2029 |

  Scenario Outline: Random failures beside disks that refuse writes for a while
    Given random runs with failing disks and seeds from <first> to <last>
    Then each run ended with every accepted payload once, in the same order

    Examples:
      | first | last |
      | 3000  | 3029 |

  Scenario: A hypothesis state machine compared with the accepted payloads
    Then a hypothesis run of 40 examples of 30 steps finds no difference

  Scenario: A snapshot bounds the entries read on a start after 200,000 changes
    Given a log on disk with 200000 entries
    When the log is opened again
    Then at most 10000 entries are read after the snapshot
    And the state machine has applied 200000 payloads
