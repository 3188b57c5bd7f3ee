Feature: Work runs as promised, whatever the workers and the holder do

  The scheduler is that of the daemon. Workers, commits and faults are modelled
  on one clock. An oracle checks every start: a task runs once at a time and
  never again after its end counts, phases keep their order, failures keep to
  their budget, and no worker is over its room.

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

  Scenario: Starts are carried out seconds late
    Given a work model with seed 3 in which a third of the starts is late
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: Ends count once over a change of the holder
    Given a work model with seed 4 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And the holder changes every second for 8 seconds
    And 40 seconds pass
    Then every job is completed

  Scenario: A worker is cut off until its lease has lapsed
    Given a work model with seed 5 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 1 seconds pass
    And a worker is cut off for 12 seconds
    And 40 seconds pass
    Then every job is completed

  Scenario: A worker is born again behind a cut while a start is on its way
    Given a work model with seed 6 in which a third of the starts is late
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And each worker is born again in turn
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: A cancelled job leaves no run behind
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

  Scenario: A holder that starts from a snapshot stops the runs of ended jobs
    Given a work model with seed 7 in which a third of the answers is lost
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 1 seconds pass
    And every job is cancelled
    And the holder changes to one that starts from a snapshot
    Then some tasks of ended jobs have runs
    When 6 seconds pass
    Then nothing runs

  Scenario: A run that is stopped starts elsewhere only after its end
    Given a work model with seed 9 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And every run is told to stop each second for 6 seconds
    And 40 seconds pass
    Then every job is completed

  Scenario: Stops are carried out seconds late
    Given a work model with seed 13 in which a third of the starts is late
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And every run is told to stop each second for 6 seconds
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: A stop of one holder ends a run of the next
    Given a work model with seed 14 in which a third of the answers is lost
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And every run is told to stop and the holder changes, 12 times
    And 60 seconds pass
    Then every job is completed or has failed

  Scenario: A start is refused after another one had no answer
    Given a work model with seed 15 in which starts are late or refused
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And 90 seconds pass
    Then every job is completed or has failed

  Scenario: A task that lasts is started again however it ends
    Given a work model with seed 8 and no faults
    When a job of 3 tasks that last is accepted
    And 20 seconds pass
    Then all 3 tasks run after more than 6 starts

  Scenario: A run on a worker that fell silent does not count as at work
    Given a work model with seed 10, 6 workers and no faults
    When a job of 4 steady tasks of which 1 may be away
    And 3 seconds pass
    And the worker of its first task is cut off
    And 4 seconds pass
    Then its other tasks are freed for 6 seconds without harm

  Scenario: A new holder counts on a run only once no earlier stop can end it
    Given a work model with seed 11, 6 workers and no faults
    When a job of 4 steady tasks of which 1 may be away
    And 3 seconds pass
    And one of its tasks is told to stop just before the holder changes
    Then its other tasks are freed for 3 seconds without harm

  Scenario: A run on a leaving worker counts as away before it is stopped
    Given a work model with seed 11, 6 workers and no faults
    When a job of 4 steady tasks of which 1 may be away
    And 3 seconds pass
    And the last of its workers leaves while all others are to be freed
    Then only the tasks of that worker are told to stop

  Scenario: Work starts elsewhere before its worker counts as away
    Given a work model with seed 12, 6 workers and no faults
    When a job of 4 steady tasks of which 1 may be away
    And 3 seconds pass
    And the worker of its first task is cut off
    Then the task runs elsewhere within 4.5 seconds of the cut

  Scenario: An answer of a former life of a worker tells nothing
    Given a work model with seed 16, 3 workers and no faults
    When a job of 2 phases with 5 tasks each is accepted
    And 1 seconds pass
    And a worker is born again and an answer of its former life arrives
    Then its clock is not taken for that of the new life

  Scenario: A run on a worker that the log does not know does not hold its task
    Given a work model with seed 18, 3 workers and no faults
    When a job of 1 phases with 3 tasks each is accepted
    And the holder changes and a busy worker is neither recorded nor back
    And 20 seconds pass
    Then every job is completed

  Scenario: A run on a worker that the log does not know ends once
    Given a work model with seed 18, 3 workers and no faults
    When a job of 1 phases with 3 tasks each is accepted
    And the holder changes and a busy worker is not recorded but comes back
    And 20 seconds pass
    Then the job is completed after 3 starts

  Scenario: A start of an earlier holder comes late to the next life of a worker
    Given a work model with seed 19, 3 workers and no faults
    When a job of 1 phases with 1 tasks each is accepted
    And its start is late for a worker that is born again as the holder changes
    And 20 seconds pass
    Then every job is completed

  Scenario: A start that the log refuses is not ordered
    Given a work model with seed 17, 3 workers and no faults
    When a job of 1 phases with 1 tasks each is accepted
    And a start of an earlier holder is recorded just before that of its task
    And 20 seconds pass
    Then the job is completed after 1 starts

  Scenario: Jobs that wait for room do not ask every worker anew
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 100 jobs alike are accepted, more than there is room for
    Then a pass without room examines 0 workers

  Scenario: Jobs that wait for memory do not ask every worker anew
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 100 jobs that fill the memory alone are accepted
    Then a pass without room examines 0 workers

  Scenario: Workers that are kept free are asked once a pass
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 30 workers are kept free of new work
    And 10 jobs alike are placed
    Then each start examined one worker, besides 30 at most in all

  Scenario: A job counts as pending until a worker has started a task of it
    Given a work model with seed 18, 3 workers and no faults
    When 1 seconds pass
    And every worker is cut off as a job of 2 tasks is accepted
    And 1 seconds pass
    Then a start of the job is recorded
    And 1 jobs are pending
    When every worker is in reach again
    And 2 seconds pass
    Then 0 jobs are pending

  Scenario: Jobs that wait are not ranked anew while nothing changes
    Given a work model with seed 16, 36 workers and no faults
    When 1 seconds pass
    And 100 jobs alike are accepted, more than there is room for
    Then 5 placements rank no job anew
    And for 5 seconds each rank is that of a new look

  Scenario: Ends on their way into the log are not handed over with each tick
    Given a work model with seed 17 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And a look lists ends that are not recorded yet
    Then 10 ticks hand over nothing to record for these ends

  Scenario: Ends of a former life do not make the next one forget its own
    Given a work model with seed 18 and no faults
    When 6 jobs of 2 phases with 5 tasks each are accepted
    And a look lists ends that are not recorded yet
    And their worker is born again before they are recorded
    Then the first look at its new life lets it forget no end

  Scenario: Records that a failed handover refuses are committed later
    Given a holder that leads alone
    When it hands over in vain while a record is on its way to the log
    Then the record is committed all the same

  Scenario: A worker forgets no end before the batch that holds it is recorded
    Given a work model with seed 19, 3 workers and no faults
    When 1 seconds pass
    And looks at a worker list the ends 1 to 5 and then to 7
    And a batch of the same worker without ends is recorded
    Then the next look lets it forget the ends up to 0
    When batch 2 of the ends is recorded
    Then the next look lets it forget the ends up to 0
    When batch 1 of the ends is recorded
    Then the next look lets it forget the ends up to 7

  Scenario: Random faults in any order
    Given the work machine with 40 examples
    Then no promise is broken

  Scenario Outline: Random plays of work, faults and holders break no promise
    Given random plays of work with seeds from <first> to <last>
    Then each of them breaks no promise and leaves no job stuck

    Examples:
      | first | last |
      | 0     | 9    |
      | 10    | 19   |
      | 215   | 219  |
