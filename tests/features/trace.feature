Feature: The trace command shows the timeline of a job from all event logs

  Scenario: Lines of several processes are merged by time
    Given the log of an entry process that refused a job once
    And the log of a control process that ran the job and others
    When the job is traced
    Then the timeline has these events in order
      | event           |
      | request_refused |
      | holder_changed  |
      | job_accepted    |
      | run_placed      |
      | worker_believed |
      | run_ended       |
      | job_ended       |
    And the command reports that 1 of 11 lines had no event

  Scenario: A job that occurs in no log
    Given the log of an entry process that refused a job once
    When another job is traced
    Then the command fails and reports that no line was found

  Scenario: A line that lists the runs of several jobs
    Given the log of a control process that lists several runs per line
    When the job is traced
    Then the timeline has these events in order
      | event           |
      | job_accepted    |
      | work_waiting    |
      | runs_placed     |
      | runs_placed     |
      | worker_believed |
      | runs_ended      |
      | job_ended       |
    And the timeline does not contain the other job

  Scenario: The timeline of each run is complete when hundreds start per second
    Given the log of a modelled leader with 60 workers
    When 10 jobs of 3 phases with 100 tasks each have been completed there
    Then no line of its log is dropped
    And the traces of these jobs show each start and each end

  Scenario: Waiting tasks are logged with the number of usable workers
    Given the log of a modelled leader with 1 workers
    When a job of 3 tasks has been waiting there for 4 seconds
    Then its log reports 3 times 2 waiting tasks and 1 worker

  Scenario: Tasks that are placed at once do not count as waiting
    Given the log of a modelled leader with 4 workers
    When a job of 3 tasks has been waiting there for 3 seconds
    Then its log reports no waiting tasks

  Scenario: Starts that no worker confirms are logged
    Given the log of a modelled leader with 1 workers
    When its worker ignores the starts of a job of 3 tasks for 3 seconds
    Then its log reports 2 times 3 unconfirmed starts

  # As in a record of users: some long-running tasks lapse while others go on.
  Scenario: Records that are not committed are logged
    Given the log of a modelled leader with 2 workers
    When no record is committed for 6 seconds while a task ends on one of the workers
    Then the serving task of that worker has lapsed, and the other one runs
    And its log reports that it and 2 tasks have waited for records for 4 seconds

  Scenario: The reasons why workers get no work are logged
    Given the log of a modelled leader with 2 workers
    When all workers are cut off while a job of 3 tasks waits for 3 seconds
    Then its log reports 2 workers as unusable because they are unresponsive

  Scenario: Backfill tasks that wait are logged beside the serving workers
    Given the log of a modelled leader with 2 workers
    When 2 serving tasks and 3 backfill tasks are accepted there for 4 seconds
    Then its log reports 3 backfill tasks that wait beside 2 serving workers

  Scenario: The log tells whether a lost run had outlived its start
    Given the log of a modelled leader with 2 workers
    When both workers crash 2 seconds after one task and right after another
    Then its log reports the first run as proven and the second one as not

  Scenario: Dropped lines are counted in the metrics before another line comes
    Given a log with a limited buffer whose reader accepts nothing
    When 1000 jobs are accepted at once
    Then the metrics count each dropped line
