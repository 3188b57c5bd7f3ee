Feature: What went wrong for operators of similar systems does not happen here

  Each scenario plays one report. Reports that other features play in full are
  listed in docs/operations/reports.md.

  Scenario: Work of a machine that was silent for a while is not started again
    Given a work model with seed 5 and no faults
    When a job of 1 phases with 9 tasks each is accepted
    And 1 seconds pass
    And a worker is partitioned for 2 seconds
    And 20 seconds pass
    Then the job is completed after 9 starts

  Scenario: A hand-over between leaders sends no order twice
    Given a work model with seed 4 in which a third of the orders is delayed
    When 3 jobs of 2 phases with 9 tasks each are accepted
    And the leader changes every second for 8 seconds
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: A relay that knows of a newer leader sends no orders of the previous one
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay knows a newer term
    When the leader starts a run on a worker in zone "b"
    Then the relay has sent 0 starts

  Scenario: Work whose answer was lost on its way through a relay is not said to be unsent
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay falls silent after it got an order
    When the leader starts a run on a worker in zone "b"
    Then the outcome is "unknown"

  Scenario: A worker that left is not in use again after a restart of the leader
    Given a work model with seed 5 and no faults
    When a worker leaves and the leader restarts from a snapshot
    And 3 jobs of 1 phases with 6 tasks each are accepted
    And 40 seconds pass
    Then every job is completed
    And nothing was started on the worker that left

  Scenario: A malformed message ends neither the process nor its connections
    Given a process that answers and 1 that ask
    When the first question cannot be handled
    And each of them asks 3 times
    Then each of them has 2 answers
    And 1 connection was accepted

  Scenario: One odd entry among those of the hosts hides no other host
    Given a platform that lists 3 hosts
    When the second entry is the JSON {"machine": "m-2", "pool": [[[[7]]]], "state": 1e400}
    Then the hosts "m-1, m-3" are listed
