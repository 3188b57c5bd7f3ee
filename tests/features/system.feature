Feature: Processes discover each other from seeds and run jobs despite failures

  Runs real processes on loopback: three control processes that vote, one
  entry process, and stand-in workers that obey leases and fencing tokens and
  append each start to a journal.

  Scenario Outline: The system starts with its processes in any order
    Given a system whose processes start in the order <order> with 2 workers
    When a manifest is put in force
    And job 1 with 3 tasks of 0.2 seconds is submitted through entry-1
    Then job 1 is shown as completed within 20 seconds
    And each task was started once

    Examples:
      | order                                      |
      | control-1, control-2, control-3, entry-1   |
      | entry-1, control-3, control-1, control-2   |

  Scenario: A job survives the leader and is not duplicated when it is submitted again
    Given a system whose processes start in the order control-1, control-2, control-3, entry-1 with 2 workers
    When a manifest is put in force
    And job 1 with 8 tasks of 1.5 seconds is submitted through entry-1
    And the leader of the system is killed
    And job 1 with 8 tasks of 1.5 seconds is submitted through entry-1
    Then job 1 is shown as completed within 25 seconds
    And there is 1 job
    And each task was started once

  Scenario: Operators' commands work through any process
    Given a system whose processes start in the order control-1, control-2, control-3, entry-1 with 1 workers
    When a manifest is put in force
    And job 1 with 1 tasks of 60 seconds is submitted through entry-1
    Then the command "job list" sent to entry-1 prints "running"
    And the command "worker list" sent to control-2 prints "up"
    And the command "workspace list" sent to entry-1 prints "WORKSPACE"
    And the command "workspace show north" sent to entry-1 fails with code 2112
    And the command "job cancel 0000000000000001 --host host --path /stops/" sent to control-1 prints "done"
    And the command "job show 0000000000000001 --host host --path /stops/" sent to entry-1 prints "cancelled"
    And the command "job show 0000000000000002 --host host --path /stops/" sent to entry-1 fails with code 2102

  Scenario: An invalid manifest is refused and changes nothing
    Given a system whose processes start in the order control-1, control-2, control-3, entry-1 with 0 workers
    When a manifest is put in force
    And a manifest of version 7 without its service is sent
    Then it is refused with code 4005
    And the manifest in force has version 1
