Feature: Silence proves nothing about hosts

  The platform may be slow, limit the rate of reads, or leave out a host for a
  moment; a worker may be unknown to a new leader.

  Scenario: A host that is missing from one list after a gap is not removed
    Given a wave of hosts "m0 m1" whose orders have the outcomes "unknown"
    When the hosts are reconciled for 1 seconds
    And the list of hosts cannot be read for 10 seconds
    And the list lacks host m0 for 1 seconds
    Then host m0 is at the step ordered
    And the wave is not complete

  Scenario: A host that is missing from all lists for long is removed
    Given a wave of hosts "m0 m1" whose orders have the outcomes "unknown"
    When the hosts are reconciled for 1 seconds
    And the list lacks host m0 for 9 seconds
    Then host m0 is at the step over

  Scenario: A host that is missing from one list goes on moving
    Given a wave of hosts "m0 m1" whose orders have the outcomes "unknown"
    And a move of host m2
    When the hosts are reconciled for 1 seconds
    And the list lacks host m2 for 2 seconds
    Then host m2 is moving
    When the list lacks host m2 for 9 seconds
    Then host m2 is not moving

  Scenario: A list of an earlier term does not end a maintenance
    Given a wave of hosts "m0 m1" whose orders have the outcomes "refused"
    When the list of hosts has been read
    And another leader has the next worker of host m0 maintained
    And this process leads again and cannot read the list for 2 seconds
    Then host m0 is at the step taken

  Scenario: No order is given for a host whose worker has been replaced
    Given a work model with seed 60, 2 workers and no faults
    And runs that take 60 seconds
    When a job of 1 phases with 1 tasks each is accepted
    And a wave names the host of its worker
    And the list cannot be read while another worker starts on that host
    Then no order was given
    When the list can be read again
    And 3 seconds pass for the wave as well
    Then no order was given

  Scenario: No order is given for a host with runs of an unrecorded worker
    Given a work model with seed 18, 3 workers and no faults
    When a job of 1 phases with 3 tasks each is accepted
    And the leader changes and a busy worker is not recorded but returns
    And a wave names the hosts of the workers that are not known yet
    And the hosts are reconciled for 1 seconds
    Then no order was given

  # Guards against a wave that is never complete, and whose host no other one may maintain.
  Scenario: A maintenance is over although its worker is back under its id
    Given a wave of hosts "m0" whose orders have the outcomes "done"
    When the hosts are reconciled for 1 seconds
    And host m0 is maintained for 2 seconds and back with the same worker
    And the hosts are reconciled for 4 seconds
    Then the wave is complete

  Scenario: A list that still shows the worker of before does not end a maintenance
    Given a wave of hosts "m0" whose orders have the outcomes "done"
    When the hosts are reconciled for 3 seconds
    Then host m0 is at the step taken

  Scenario: A throttled order does not show what became of the one before
    Given a wave of hosts "m0" whose orders have the outcomes "unknown throttled done"
    And a platform that executes each order
    When the hosts are reconciled for 15 seconds
    Then the wave is complete

  Scenario: A throttled move does not show what became of the one before
    Given a wave of hosts "m0 m1" whose orders have the outcomes "unknown throttled"
    When a move of host m2 is sent twice and throttled the second time
    Then host m2 is moving

  Scenario: The host of a worker that does not answer is not moved by an old list
    Given a work model with seed 65, 2 workers and no faults
    When 1 seconds pass
    And a move is planned of the host of a worker that has fallen silent
    And the list of hosts is a second old
    Then no order was given
    When its worker answers again
    Then the host is ordered to move

  Scenario: The host of a worker that does not answer is moved by a list that was just read
    Given a work model with seed 65, 2 workers and no faults
    When 1 seconds pass
    And a move is planned of the host of a worker that has fallen silent
    And the list of hosts is a second old
    Then no order was given
    When the list of hosts is read again
    Then the host is ordered to move

  Scenario: A host that went down as it moved is not awaited in its pool
    Given a standby pool with 2 hosts and a busy pool with 2
    When the busy pool requires 1 more host while host m0 moves there
    Then 0 hosts move to the busy pool
    When host m0 goes down
    And the busy pool requires 1 more host while host m0 moves there
    Then 1 hosts move to the busy pool
