Feature: Voters agree on one log through failures

  Links are in memory and seeded; the decision code is that of the daemon.
  While time passes, three checks run on every step: the applied entries of any
  two voters agree as far as both go, at most one voter serves reads, and that
  one has committed as much as any other.

  Scenario: A leader that a silent partition isolates for long is replaced
    Given 5 voters with seed 1
    When 30 payloads are proposed
    And the leader is isolated for 60 seconds
    Then another voter leads in a newer term and the old one has stepped down
    When 30 payloads are proposed
    And the links are mended for 5 seconds
    Then every voter holds every accepted payload once, in one order

  Scenario: A one-way cut lets no voter disturb the leader
    Given 3 voters with seed 2
    When 10 payloads are proposed
    And the leader's messages to one follower are cut for 30 seconds
    Then the same voter leads in the same term

  Scenario: A second voter is lost just after a repair completes
    Given 3 voters with seed 3
    When 50 payloads are proposed
    And a follower loses its disk and is replaced by a new voter
    And another follower is lost just after
    And 10 payloads are proposed
    Then 10 of them are accepted
    And the living voters hold every accepted payload once, in one order

  Scenario: A voter that comes back with a wiped disk does not vote
    Given 3 voters with seed 4
    When 50 payloads are proposed
    And a follower comes back with a wiped disk under a new identity
    And the other follower is isolated for 10 seconds
    And 10 payloads are proposed
    Then 0 of them are accepted

  Scenario: A failed sync stops the voter and loses nothing
    Given 3 voters with seed 5
    When 20 payloads are proposed
    And the leader's disk refuses to sync and 5 payloads are proposed
    Then the leader has stopped
    When 20 payloads are proposed
    Then 20 of them are accepted
    And the living voters hold every accepted payload once, in one order

  Scenario: A leadership transfer hands over within a second
    Given 3 voters with seed 6
    When 20 payloads are proposed
    And the leadership is transferred to a follower
    Then that follower leads within 1 seconds

  Scenario: A voter that is cut off is sent little, and what it lacks once
    Given 3 voters with seed 8 that keep their whole log
    When a follower is cut off while 1500 payloads are proposed in 3 seconds
    Then it was sent less than 500 of them
    When the cut heals and 1000 payloads are proposed in 2 seconds
    Then it holds all and was sent less than 3000 entries since

  Scenario: A snapshot of many parts does not wait for each part's answer
    Given 3 voters with a snapshot of 24 parts
    When a new voter is fed
    Then it holds all in less than 24 round trips

  Scenario: A spare is kept up to date while the leader's loop is late
    Given 3 voters with seed 11 that keep their whole log
    When a new voter is fed
    And the leader acts only every 0.26 seconds
    And 6800 payloads are proposed in 4 seconds
    Then the new voter could vote at once

  Scenario: A snapshot that is being sent is not replaced under load
    Given 3 voters with a snapshot of 24 parts
    When the leader acts only every 0.26 seconds
    And a new voter is fed
    And 48 payloads are proposed in 2.4 seconds
    Then the new voter could vote at once

  Scenario: Entries that a new voter is being sent are not compacted
    Given 3 voters with seed 12 that write a snapshot each 6000 entries
    When 5500 payloads are proposed in 1 seconds
    And the leader acts only every 0.26 seconds
    And a new voter is fed
    And 3400 payloads are proposed in 2 seconds
    Then the new voter could vote at once
    And it was sent no snapshot

  Scenario: Two changes of the voters at once are refused
    Given 3 voters with seed 7
    When a voter is added and another removed at once
    Then the second change is refused with code 5004

  Scenario: A new leader changes the voters before it has committed an entry
    Given 4 voters with seed 9
    When the leader is cut off from the others and adds a voter
    And a new leader removes the old one before it has committed an entry
    And 5 payloads are proposed
    And the old leader, the new voter and one other voter are the only ones left
    And the links are mended for 5 seconds
    Then the living voters hold every accepted payload once, in one order

  Scenario: A snapshot never discards entries that were acknowledged
    Given the random run with seed 20
    Then each run ended with every accepted payload once, in one order

  Scenario Outline: Random runs of crashes, cuts, loss and transfers
    Given random runs with seeds from <first> to <last>
    Then each run ended with every accepted payload once, in one order

    Examples:
      | first | last |
      | 1000  | 1029 |
      | 2000  | 2029 |

  Scenario: A state machine of hypothesis against the oracle
    Then a hypothesis run of 40 examples of 30 steps finds no difference

  Scenario: A start after 200,000 changes is bounded by the snapshot
    Given a log on disk with 200000 entries
    When the log is opened again
    Then at most 10000 entries are read after the snapshot
    And the state machine has applied 200000 payloads
