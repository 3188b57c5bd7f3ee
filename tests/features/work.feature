Feature: Jobs run as guaranteed despite worker faults and leader changes

  The scheduler is the real one. Workers, commits and faults are simulated on
  one clock. An oracle checks every start: a task has one run at a time and none
  after its end is acknowledged, phases keep their order, and no task exceeds
  its attempts. After every time step no worker exceeds its CPU.

  Scenario: Tasks run in the order of their phases
    Given a work model with seed 1 and no faults
    When a job of 3 phases with 4 tasks each is accepted
    And 20 seconds pass
    Then the job is completed after 12 starts

  Scenario: A start without an answer never runs twice
    Given a work model with seed 2 in which a third of the answers is lost
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 60 seconds pass
    Then every job is completed or has failed

  Scenario: Starts are executed after seconds of delay
    Given a work model with seed 3 in which a third of the orders is delayed
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: Ends count once when the leader changes
    Given a work model with seed 4 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And the leader changes every second for 8 seconds
    And 40 seconds pass
    Then every job is completed

  Scenario: A worker is partitioned until its lease has expired
    Given a work model with seed 5 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 1 seconds pass
    And a worker is partitioned for 12 seconds
    And 40 seconds pass
    Then every job is completed

  Scenario: A partitioned worker restarts while a start order is in flight
    Given a work model with seed 6 in which a third of the orders is delayed
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And each worker restarts in turn
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: All runs of a cancelled job are stopped
    Given a work model with seed 7 in which a third of the answers is lost
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 1 seconds pass
    And every job is cancelled
    And 6 seconds pass
    Then nothing runs

  Scenario: An ended job leaves neither its text nor its tasks in a snapshot
    Given a work model with seed 1 and no faults
    When a job of 3 phases with 4 tasks each is accepted
    And 20 seconds pass
    Then the job is completed after 12 starts
    And a snapshot keeps the job with 0 tasks and without its text

  Scenario: A leader that starts from a snapshot stops the runs of ended jobs
    Given a work model with seed 7 in which a third of the answers is lost
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 1 seconds pass
    And every job is cancelled
    And the leader changes to one that starts from a snapshot
    Then some tasks of ended jobs have runs
    When 6 seconds pass
    Then nothing runs

  Scenario: A run that is stopped starts elsewhere only after its end
    Given a work model with seed 9 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And the stop of every run is requested each second for 6 seconds
    And 40 seconds pass
    Then every job is completed

  Scenario: Stops are executed after seconds of delay
    Given a work model with seed 13 in which a third of the orders is delayed
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And the stop of every run is requested each second for 6 seconds
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: A stop ordered by one leader ends a run under the next
    Given a work model with seed 14 in which a third of the answers is lost
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And the stop of every run is requested and the leader changes, 12 times
    And 60 seconds pass
    Then every job is completed or has failed

  Scenario: A start is refused after an earlier attempt had no answer
    Given a work model with seed 15 in which starts are delayed or refused
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: A long-running task is restarted however its run ends
    Given a work model with seed 8 and no faults
    When a job of 3 long-running tasks is accepted
    And 20 seconds pass
    Then all 3 tasks run after more than 6 starts

  Scenario: A run on an unresponsive worker does not count as available
    Given a work model with seed 10, 6 workers and no faults
    When a job of 4 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And the worker of its first task is partitioned
    And 4 seconds pass
    Then its other tasks are drained for 6 seconds within that limit

  Scenario: A new leader counts a run as available only when no stop is pending
    Given a work model with seed 11, 6 workers and no faults
    When a job of 4 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And one of its tasks is ordered to stop just before the leader changes
    Then its other tasks are drained for 3 seconds within that limit

  Scenario: A run on a leaving worker counts as unavailable before its stop
    Given a work model with seed 11, 6 workers and no faults
    When a job of 4 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And the last of its workers leaves while all others are to be drained
    Then only the tasks of that worker are to stop

  Scenario: A task of a partitioned worker is soon restarted elsewhere
    Given a work model with seed 12, 6 workers and no faults
    When a job of 4 endless tasks with at most 1 unavailable
    And 3 seconds pass
    And the worker of its first task is partitioned
    Then the task runs elsewhere within 4.5 seconds of the partition

  Scenario: An answer of a previous incarnation of a worker is ignored
    Given a work model with seed 16, 3 workers and no faults
    When a job of 2 phases with 5 tasks each is accepted
    And 1 seconds pass
    And a worker restarts and an answer of its previous incarnation arrives
    Then its clock is not taken for that of the new incarnation

  Scenario: A run on an unrecorded worker does not block its task
    Given a work model with seed 18, 3 workers and no faults
    When a job of 1 phases with 3 tasks each is accepted
    And the leader changes and a busy worker is neither recorded nor back
    And 25 seconds pass
    Then every job is completed

  Scenario: A run on an unrecorded worker ends once
    Given a work model with seed 18, 3 workers and no faults
    When a job of 1 phases with 3 tasks each is accepted
    And the leader changes and a busy worker is not recorded but returns
    And 20 seconds pass
    Then the job is completed after 3 starts

  Scenario: A delayed start of the previous leader reaches a restarted worker
    Given a work model with seed 19, 3 workers and no faults
    When a job of 1 phases with 1 tasks each is accepted
    And its start is delayed for a worker that restarts as the leader changes
    And 20 seconds pass
    Then every job is completed

  Scenario: A start whose record is rejected is not ordered
    Given a work model with seed 17, 3 workers and no faults
    When a job of 1 phases with 1 tasks each is accepted
    And a start of the previous leader is recorded just before that of its task
    And 20 seconds pass
    Then the job is completed after 1 starts

  Scenario: Jobs that wait for free CPU do not cause a scan of all workers
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 100 identical jobs are accepted, more than the workers can run
    Then a pass without free resources examines 0 workers

  Scenario: Jobs that wait for free memory do not cause a scan of all workers
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 100 jobs that fill only the memory are accepted
    Then a pass without free resources examines 0 workers

  Scenario: Reserved workers are examined once per pass
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 30 workers are reserved
    And 10 identical jobs are placed
    Then each start examined one worker, apart from 30 at most in all

  Scenario: A job counts as pending until a worker has started a task of it
    Given a work model with seed 18, 3 workers and no faults
    When 1 seconds pass
    And every worker is partitioned as a job of 2 tasks is accepted
    And 1 seconds pass
    Then a start of the job is recorded
    And 1 jobs are pending
    When every worker is reachable again
    And 2 seconds pass
    Then 0 jobs are pending

  Scenario: Waiting jobs are not ranked again while nothing changes
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 100 identical jobs are accepted, more than the workers can run
    Then 5 placements recompute no sort key
    And for 5 seconds each sort key equals a recomputed one

  # Seen as LOST: a job failed after one run with two attempts allowed.
  Scenario Outline: Members of a gang that fail in one run are one attempt
    Given a work model with seed 32, 3 workers and no faults
    When a gang of 2 tasks fails in each run by <members>, with <changes> of the leader
    Then the job fails with run 3, its last attempt

    Examples:
      | members          | changes    |
      | both members     | no change  |
      | both members     | a change   |
      | the first member | no change  |
      | members in turn  | a change   |

  Scenario: Ends that are being recorded are not submitted again by each tick
    Given a work model with seed 17 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And a poll lists ends that are not recorded yet
    Then 10 ticks submit no records for these ends

  Scenario: Ends of a previous incarnation do not acknowledge those of the next
    Given a work model with seed 18 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And a poll lists ends that are not recorded yet
    And their worker restarts before they are recorded
    Then the first poll of its new incarnation acknowledges no end

  Scenario: Records refused during a failed leadership transfer are retried
    Given a leader without other voters
    When a leadership transfer fails while a record is being committed
    Then the record is committed after a retry

  Scenario: An end is acknowledged only after its batch is recorded
    Given a work model with seed 19, 3 workers and no faults
    When 1 seconds pass
    And polls of a worker list the ends 1 to 5 and then to 7
    And a batch of the same worker without ends is recorded
    Then the next poll acknowledges the ends up to 0
    When batch 2 of the ends is recorded
    Then the next poll acknowledges the ends up to 0
    When batch 1 of the ends is recorded
    Then the next poll acknowledges the ends up to 7

  Scenario: Random faults in any order
    Given the work state machine with 40 examples
    Then no scheduling guarantee is broken

  Scenario Outline: Random simulations of faults break no guarantee
    Given random work simulations with seeds from <first> to <last>
    Then each of them breaks no guarantee and leaves no job stuck

    Examples:
      | first | last |
      | 0     | 9    |
      | 10    | 19   |
      | 215   | 219  |

  # Found in the model as LIMIT: a copy of an order reached the next incarnation.
  Scenario Outline: Orders that relays hold for as long as they are valid break no guarantee
    Given random work simulations with seeds from <first> to <last>
    And relays that hold 0.4 of the starts
    Then each of them breaks no guarantee and leaves no job stuck

    Examples:
      | first | last |
      | 12    | 17   |
      | 23    | 27   |
      | 31    | 34   |
      | 45    | 49   |
