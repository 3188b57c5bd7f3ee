Feature: The leader reports tasks that do not run though there are resources

  Scenario: Tasks that run or end in time are not reported
    Given the log of a modelled leader with 2 workers
    When a serving task and 4 short jobs are accepted for 15 seconds
    Then no task is reported as overdue

  Scenario: Tasks without room for them are not reported
    Given the log of a modelled leader with 1 workers
    When 3 serving tasks that need a whole worker each wait for 15 seconds
    Then no task is reported as overdue

  Scenario: Room that was missing for long counts from when it is there
    Given the log of a modelled leader with 1 workers
    When 2 serving tasks that need a whole worker each wait for 15 seconds
    And the running one is cancelled with its job
    Then no task is reported as overdue

  Scenario Outline: Tasks at rest are reported with the reason
    Given the log of a modelled leader with 2 workers
    When 2 serving tasks rest for 10.5 seconds because <fault>
    Then 2 tasks are reported as overdue for <reason> after 9 to 10.2 seconds
    And the metrics count 2 overdue tasks

    Examples:
      | fault                               | reason           |
      | no record is committed              | record           |
      | their workers are reserved          | unusable_workers |
      | their workers are cut off           | unusable_workers |
      | the waiting tasks have lost them    | unindexed        |
      | the leader has lost their runs      | untracked        |
      | their workers went down under them  | paused           |
      | the leader does not send the starts | ordered          |

  Scenario: A task that is started in time after a long rest is not reported again
    Given the log of a modelled leader with 2 workers
    When 2 serving tasks rest for 12 seconds because no record is committed
    And records are committed again for 5 seconds
    Then the metrics count 0 overdue tasks
