Feature: Plans for hosts that move or are maintained

  Scenario: Spare hosts go where work waits and return when idle
    Given a standby pool with 4 hosts and a busy pool with 2
    When the busy pool lacks the processor of 3 hosts
    Then 3 hosts move to the busy pool
    When they have arrived and nothing waits for 5 seconds
    Then 3 hosts move to the standby pool

  Scenario: A host that runs something does not move
    Given a standby pool with 4 hosts and a busy pool with 2
    When the busy pool lacks the processor of 3 hosts
    Then 3 hosts move to the busy pool
    When they have arrived and run something
    Then 0 hosts move to the standby pool

  Scenario: Idle hosts of a quiet pool help one that expects more
    Given a standby pool with 1 hosts and a busy pool with 2
    And a quiet pool with 5 idle hosts
    When the busy pool lacks the processor of 6 hosts
    Then 4 hosts move to the busy pool
    And the quiet pool keeps 2 hosts

  Scenario: A pool keeps no idle hosts for later while another needs them now
    Given a standby pool with 0 hosts and a busy pool with 2
    And a quiet pool with 5 idle hosts
    When the busy pool lacks 2 hosts and the quiet one could use 3.25
    Then 1 hosts move to the busy pool

  Scenario: Pools that could use more than there is share it evenly
    Given a standby pool with 0 hosts and a busy pool with 2
    And a quiet pool with 5 idle hosts
    When the busy pool lacks 60 hosts and the quiet one could use 4.5
    Then 1 hosts move to the busy pool

  Scenario: Idle hosts that no pool needs are switched off
    Given a standby pool with 1 hosts and a busy pool with 2
    And a quiet pool with 5 idle hosts
    When nothing is asked for 5 seconds
    Then 2 hosts move to the standby pool

  Scenario: A rise of the demand is expected to go on
    Given a pool that could use 20 cores and a second later 30
    Then it needs room for 80 cores

  Scenario: A steep rise is expected to go on for a while only
    Given a pool that could use 0 cores and a second later 65
    Then it needs room for 300 cores

  Scenario: One large job is not taken for a rise
    Given a pool in which a job for 65 cores came
    Then it needs room for 100 cores

  Scenario: A pool that had its turn keeps little for the next
    Given a standby pool with 1 hosts and a busy pool with 2
    And a quiet pool with 5 idle hosts
    When the quiet pool lacked room 1 seconds ago
    And nothing is asked for 5 seconds
    Then 3 hosts move to the standby pool

  Scenario: No host is switched off while a pool lacks room
    Given a standby pool with 0 hosts and a busy pool with 2
    And a quiet pool with 9 idle hosts
    When nothing is asked for 5 seconds
    And the busy pool lacks the processor of 2 hosts
    Then 2 hosts move to the busy pool

  Scenario: A fall of the demand is not counted on, and room is kept
    Given a pool that could use 39 cores and a second later 26
    Then it needs room for 40 cores
    And it gives room beyond 60 cores away

  Scenario: A pool does not hold hosts back for one large job
    Given a standby pool with 0 hosts and a busy pool with 2
    And a quiet pool with 9 idle hosts
    When a job for 4 hosts came to the quiet pool 1 seconds ago and is over
    And the busy pool lacks the processor of 9 hosts
    Then 7 hosts move to the busy pool 4 seconds later

  Scenario: A host is not moved again where it does not belong
    Given a standby pool with 1 hosts and a busy pool with 2
    When the platform refuses to move the standby host to the busy pool
    And the busy pool lacks the processor of 3 hosts
    Then 0 hosts move to the busy pool

  Scenario: A lasting task without a place brings a host
    Given a standby pool with 4 hosts and a busy pool with 2
    When 2 lasting tasks of the busy pool have no place
    Then 2 hosts move to the busy pool

  Scenario: Work on a host that may leave at any moment is not begun
    Given a holder that takes over while a host may leave by an order
    When a job comes and 5 seconds pass
    Then nothing was started on that host

  Scenario: A host whose maintenance has no answer is kept free
    Given a wave of one host whose order has no answer
    Then the host's worker may go down at any moment
    When the platform takes the order and the host comes back
    And 12 seconds of waves pass
    Then no worker may go down

  Scenario: A wave keeps to its limit and to the room of each pool
    Given a wave of 6 hosts of one pool of 9 with at most 4 down
    Then 3 hosts are ordered down at once
    When 3 of them are down
    Then 0 hosts are ordered down at once

  Scenario: A wave waits while a pool lacks room and there is time
    Given a wave of 6 hosts of one pool of 9 with at most 4 down
    When the pool lacks room
    Then 0 hosts are ordered down at once
    When 11 seconds are left of the wave
    Then 3 hosts are ordered down at once

  Scenario: Hosts whose runs last are freed two at a time
    Given a wave of 8 hosts of one pool of 20 with at most 8 down
    When a run that lasts is on each host
    Then 2 hosts are kept free
    When the pool lacks room
    Then 2 hosts are kept free

  Scenario: A worker that crashes does not count as maintained
    Given a wave of one host whose order has no answer
    When the host's worker crashes and another one starts
    And 12 seconds of waves pass
    Then the wave is not complete
    When the platform takes the order and the host comes back
    And 12 seconds of waves pass
    Then the wave is complete

  Scenario: The hosts of a wave do not wait for each other's orders
    Given a wave of 12 idle hosts of other pools each
    When 3 seconds of waves pass
    Then the wave is complete
    And 12 orders were on their way at a time
    And 3 commits carried the wave out

  Scenario: The log tells a pool without room from one that is late to use it
    Given a standby pool with 4 hosts and a busy pool with 2
    When the busy pool lacks the processor of 3 hosts
    Then the busy pool is logged with 2 hosts, 0 idle and 48000 of room lacking
    And the standby pool is logged with 4 hosts and 4 idle

  Scenario: A wave holds no host back that only waits for its maintenance
    Given a wave of 12 idle hosts of other pools each
    Then 0 hosts may not move
    When host m3 is on its way to another pool
    And 1 seconds of waves pass
    Then 11 hosts may not move
    And host m3 waits for its maintenance

  Scenario: Hosts whose runs last are freed early enough for the deadline
    Given a wave of 12 hosts of one pool of 60 with at most 40 down
    When a run that lasts is on each host
    And 24 seconds are left of the wave
    Then 6 hosts are kept free
    When 12 seconds are left of the wave
    Then 12 hosts are kept free

  Scenario: Hosts whose runs last do not wait until all others are done
    Given a wave of 20 hosts of one pool of 40 with at most 4 down
    When a run that lasts is on 3 of the hosts and short runs on the others
    Then 2 of those with a run that lasts are kept free

  Scenario: A wave with many hosts of one pool gets urgent in time
    Given a wave of 9 hosts of one pool of 9 with at most 40 down
    When the pool lacks room
    Then 0 hosts are ordered down at once
    When 16 seconds are left of the wave
    Then 3 hosts are ordered down at once

  Scenario: Hosts that moved do not wait for each other's records
    Given 12 hosts that were told to move and have arrived
    When the moves are carried on
    Then no host is on its way
    And 1 commit was waited for

  Scenario: Throttled orders of a wave are given again without a pause
    Given a wave of 12 idle hosts of other pools each
    And a platform that takes 5 orders at a time
    When 1 seconds of waves pass
    Then the platform took the orders of 12 hosts

  Scenario: A host whose move was throttled is free for another plan
    Given a wave of 12 idle hosts of other pools each
    When a move of host m3 is ordered and throttled
    Then no host is on its way

  Scenario: Records of a former holder take no more hosts down than may be
    Given a table of a wave of 4 hosts with at most 2 down
    When the maintenance of hosts "m0 m1" is begun
    And the maintenance of hosts "m2 m3" is begun
    Then hosts "m0 m1" may be down

  Scenario: A record of a former holder takes no maintained host down
    Given a table of a wave of 4 hosts with at most 2 down
    When the maintenance of hosts "m0" is begun
    And the maintenance of host m0 is over
    And the maintenance of hosts "m0" is begun
    Then no host of the table may be down

  Scenario: A late refusal counts no host as up that is down
    Given a table of a wave of 4 hosts with at most 2 down
    When the maintenance of hosts "m0 m1" is begun
    And the order about host m0 is taken
    And the order about host m0 is refused
    Then hosts "m0 m1" may be down

  Scenario: A late answer takes no host down again whose maintenance is over
    Given a table of a wave of 4 hosts with at most 2 down
    When the maintenance of hosts "m0" is begun
    And the maintenance of host m0 is over
    And the order about host m0 is taken
    And the order about host m0 is refused
    Then no host of the table may be down
    And 3 hosts of the table wait

  Scenario: A host whose order is refused waits again
    Given a table of a wave of 4 hosts with at most 2 down
    When the maintenance of hosts "m0" is begun
    And the order about host m0 is refused
    Then 4 hosts of the table wait

  Scenario: A record of a former holder does not turn a move round
    Given a table in which host m0 moves to pool p
    When a record says that host m0 moves to pool q
    Then host m0 moves to pool p in the table
