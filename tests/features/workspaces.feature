Feature: Calls carry a key of a workspace

  The leader authenticates each call by the manifest in force, so that a
  withdrawn key is refused from the moment at which its manifest is in force.

  Background:
    Given a manifest with the workspaces north and south and an open queue

  Scenario Outline: The key of a call decides whether it is accepted
    When a job is submitted to "<path>" with the key "<key>"
    Then the call ends with code <code>

    Examples:
      | path   | key     | code |
      | /shut/ | north-1 | 0    |
      | /shut/ | north-2 | 0    |
      | /shut/ | unknown | 2110 |
      | /shut/ |         | 2110 |
      | /open/ |         | 0    |
      | /open/ | unknown | 0    |
      | /none/ | unknown | 2101 |

  Scenario: A withdrawn key is refused and is not back after a restart
    When a manifest withdraws the key "north-1"
    And a job is submitted to "/shut/" with the key "north-1"
    Then the call ends with code 2110
    When the tables are restored from a snapshot of the previous manifest
    And the log of the later manifest is applied again
    And a job is submitted to "/shut/" with the key "north-1"
    Then the call ends with code 2110
    When a job is submitted to "/shut/" with the key "north-2"
    Then the call ends with code 0

  Scenario: A workspace without keys is refused, and so is everyone without workspaces
    When a manifest withdraws all workspaces
    And a job is submitted to "/shut/" with the key "north-1"
    Then the call ends with code 2110

  Scenario: A job is known to its own workspace alone
    When a job is submitted to "/shut/" with the key "north-1"
    Then the key "north-2" sees the job
    And the key "south-1" does not see the job

  Scenario: Two workspaces that share a key make a manifest invalid
    When a manifest gives the key "north-1" to the workspace south as well
    Then it is refused for a shared key that the reason does not show

  Scenario: Manifests and jobs without workspaces still load
    Then a job record without a workspace decodes as one of an open queue
    And a manifest record without workspaces needs no keys
