Feature: Processes that find each other from seeds run jobs through failures

  Real processes on loopback: three that vote, one entry process, stand-in
  workers under leases and fencing that keep a journal of each start.

  Scenario Outline: The system forms in any order of starts
    Given a system whose processes start in the order <order> with 2 workers
    When a manifest is put in force
    And job 1 with 3 tasks of 0.2 seconds is submitted through entry-1
    Then job 1 is shown as completed within 20 seconds
    And each task was started once

    Examples:
      | order                                      |
      | control-1, control-2, control-3, entry-1   |
      | entry-1, control-3, control-1, control-2   |

  Scenario: A job survives the holder and stays one job when it is sent again
    Given a system whose processes start in the order control-1, control-2, control-3, entry-1 with 2 workers
    When a manifest is put in force
    And job 1 with 8 tasks of 1.5 seconds is submitted through entry-1
    And the holder is killed
    And job 1 with 8 tasks of 1.5 seconds is submitted through entry-1
    Then job 1 is shown as completed within 25 seconds
    And there is 1 job
    And each task was started once

  Scenario: The commands of operators reach any process
    Given a system whose processes start in the order control-1, control-2, control-3, entry-1 with 1 workers
    When a manifest is put in force
    And job 1 with 1 tasks of 60 seconds is submitted through entry-1
    Then the command "job list" of entry-1 prints "running"
    And the command "worker list" of control-2 prints "up"
    And the command "job cancel 0000000000000001 --host host --path /stops/" of control-1 prints "done"
    And the command "job show 0000000000000001 --host host --path /stops/" of entry-1 prints "cancelled"
    And the command "job show 0000000000000002 --host host --path /stops/" of entry-1 fails with code 2102

  Scenario: A manifest that is not valid changes nothing
    Given a system whose processes start in the order control-1, control-2, control-3, entry-1 with 0 workers
    When a manifest is put in force
    And a manifest of version 7 without its service is sent
    Then it is refused with code 4005
    And the manifest in force has version 1
