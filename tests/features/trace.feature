Feature: The story of a job is told from the logs of all processes

  Scenario: Lines of several processes are joined in the order of time
    Given the log of an entry process that refused a job once
    And the log of a control process that ran it beside others
    When the job is traced
    Then the story has these events in order
      | event           |
      | request_refused |
      | holder_changed  |
      | job_accepted    |
      | run_placed      |
      | worker_believed |
      | run_ended       |
      | job_ended       |
    And it says that 1 of 11 lines had no event

  Scenario: A job that no log names
    Given the log of an entry process that refused a job once
    When another job is traced
    Then the command fails and says so

  Scenario: A line that tells of the runs of several jobs
    Given the log of a control process that lists several runs a line
    When the job is traced
    Then the story has these events in order
      | event           |
      | job_accepted    |
      | work_waiting    |
      | runs_placed     |
      | runs_placed     |
      | worker_believed |
      | runs_ended      |
      | job_ended       |
    And it tells nothing of another job

  Scenario: The story of each run is whole when hundreds start a second
    Given the log of a modelled holder of 60 workers
    When 10 jobs of 3 phases with 100 tasks each have been completed there
    Then no line of its log is left out
    And the traces of these jobs tell each start and each end

  Scenario: Tasks that wait are told beside the room of their workers
    Given the log of a modelled holder of 1 workers
    When a job of 3 tasks has waited there for 4 seconds
    Then its log tells 3 times of 2 tasks and of 1 worker

  Scenario: Tasks that find room at once do not count as waiting
    Given the log of a modelled holder of 4 workers
    When a job of 3 tasks has waited there for 3 seconds
    Then its log does not tell of waiting tasks

  Scenario: Left-out lines show in the metrics before another line comes
    Given a log with a budget whose reader takes nothing
    When 1000 jobs are accepted at once
    Then the metrics count each line that was not kept
