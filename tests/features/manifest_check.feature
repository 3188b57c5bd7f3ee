Feature: A manifest can be checked before it is sent

  The check applies the rules of the leader, and finds what is valid but
  certainly not meant. It sends nothing.

  Scenario Outline: Mistakes are found with their path and line
    Given a manifest file
    When the field <path> is set to <text>
    And the file is checked
    Then the command ends with <exit>
    And it finds <severity> at <path> in the line of that field

    Examples:
      | path                          | text         | severity      | exit |
      | queues[0].service             | absent       | error         | 1    |
      | queues[0].call_timeout        | 0            | error         | 1    |
      | queues[0].priority            | high         | error         | 1    |
      | queues[0].stretch             | 0.5          | contradiction | 1    |
      | queues[0].target_seconds      | 10           | contradiction | 1    |
      | queues[0].max_attempts        | 0            | contradiction | 1    |
      | workspaces[0].weight          | 0            | contradiction | 1    |
      | queues[0].path_prefix         | stops/       | unmatched     | 0    |
      | queues[0].service             | spare        | unmatched     | 0    |
      | workspaces[1].key_digests     | []           | unmatched     | 0    |
      | queues[0].strech              | 2            | unmatched     | 0    |
      | services[2]                   | {service: x, guards_room: false, is_standby: false} | unmatched | 0 |

  Scenario: Two workspaces with one key are an error that does not show it
    Given a manifest file
    When the field workspaces[1].key_digests is set to [aa]
    And the file is checked
    Then the command ends with 1
    And it finds error at workspaces[1].key_digests in the line of that field
    And the output does not show the digest

  Scenario Outline: Differences from the manifest in force are listed, losses first
    Given a manifest file
    When the field <path> is set to <text>
    And the field version is set to <version>
    And the file is checked against the one before
    Then the first difference is <severity> at <path>

    Examples:
      | path                      | text   | version | severity |
      | queues[0].stretch         | 3      | 2       | change   |
      | workspaces[0].key_digests | [cc]   | 2       | loss     |
      | workspaces[0].max_cpu     | 5      | 2       | loss     |
      | workspaces[1].max_cpu     | 9000   | 2       | change   |
      | version                   | 1      | 1       | loss     |

  Scenario: A file that cannot be read ends with another code
    When a missing file is checked
    Then the command ends with 2
