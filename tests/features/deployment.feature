Feature: Several processes keep one state

  Scenario: Accepted changes survive the loss of the leader and of one more host
    Given 7 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is put through "muscat-1" as "first"
    Then every process has revision 1 in force within 10 seconds
    When the leader is killed
    And the contract "grinders.yaml" is put through a living process as "second"
    Then every process has revision 2 in force within 10 seconds
    When the killed process is started again
    And the leader is killed
    And the contract "grinders.yaml" is put through a living process as "third"
    Then every process has revision 3 in force within 10 seconds
    And a resend of "first" through a living process is answered with revision 1

  Scenario: A keyed call resent through another entry process runs once
    Given 7 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is put through "muscat-1" as "first"
    Then every process has revision 1 in force within 10 seconds
    Given an upstream "fees-1" of "fees" in the zone "muscat"
    When a call with key "fee-1" goes through "muscat-1"
    And the same call goes through "muscat-3"
    And the same call goes through "muscat-1"
    Then the 3 answers are the same and the call ran once

  Scenario: A learner that restarts in a cut-off zone is fed by its neighbours
    Given 6 daemons in 3 zones, of which 2 vote
    When the contract "grinders.yaml" is put through "muscat-1" as "first"
    Then every process has revision 1 in force within 10 seconds
    When every process outside the zone "sohar" is killed
    And the process "sohar-1" is killed and started again
    Then every process has revision 1 in force within 10 seconds

  Scenario: A process without the shared key gets nothing
    Given 3 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is put through "muscat-1" as "first"
    Then every process has revision 1 in force within 10 seconds
    When a stranger asks "muscat-1" for its state without the key
    Then the stranger is refused

  Scenario: Operators see every process and replace a voter that lost its disk
    Given 4 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is put through "muscat-1" as "first"
    Then every process has revision 1 in force within 10 seconds
    When the operator applies "grinders.yaml" with --wait through "muscat-2"
    Then the operator's command succeeds
    When the operator runs "processes" through "muscat-2"
    Then the operator's output names "nizwa-1/1"
    When the process "sohar-1" comes back with a wiped disk
    And the operator replaces the voter of "sohar-1" through "muscat-2"
    Then the operator's command succeeds
    And the voters are "muscat-1/1" and "nizwa-1/1" and the new one of "sohar-1"
    When the operator runs "voter remove nobody/1" through "muscat-2"
    Then the operator's command is refused with code 5004

  Scenario: One disk that is left recovers the system
    Given 3 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is put through "muscat-1" as "first"
    Then every process has revision 1 in force within 10 seconds
    When "nizwa-1" and "sohar-1" lose their disks for good
    And "muscat-1" is recovered alone
    Then every process has revision 1 in force within 10 seconds
    When the contract "grinders.yaml" is put through "muscat-1" as "second"
    Then every process has revision 2 in force within 10 seconds
