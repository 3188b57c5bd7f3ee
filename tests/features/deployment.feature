Feature: Several processes replicate one state

  Scenario: Accepted changes survive the repeated loss of the leader
    Given 7 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is applied through "muscat-1" with request id "first"
    Then every running process has revision 1 in force within 10 seconds
    When the leader is killed
    And the contract "grinders.yaml" is applied through a running process with request id "second"
    Then every running process has revision 2 in force within 10 seconds
    When the killed process is restarted
    And the leader is killed
    And the contract "grinders.yaml" is applied through a running process with request id "third"
    Then every running process has revision 3 in force within 10 seconds
    And a resend of "first" through a running process is answered with revision 1

  Scenario: A keyed call resent through another entry process runs once
    Given 7 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is applied through "muscat-1" with request id "first"
    Then every running process has revision 1 in force within 10 seconds
    Given an upstream "fees-1" of "fees" in the zone "muscat"
    When a call with key "fee-1" is sent through "muscat-1"
    And the same call is sent through "muscat-3"
    And the same call is sent through "muscat-1"
    Then all 3 answers are successful and the call ran once

  Scenario: A learner that restarts while all other zones are down is fed in its zone
    Given 6 daemons in 3 zones, of which 2 vote
    When the contract "grinders.yaml" is applied through "muscat-1" with request id "first"
    Then every running process has revision 1 in force within 10 seconds
    When every process outside the zone "sohar" is killed
    And the process "sohar-1" is killed and restarted
    Then every running process has revision 1 in force within 10 seconds

  Scenario: A client without the shared key is refused by a peer port
    Given 3 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is applied through "muscat-1" with request id "first"
    Then every running process has revision 1 in force within 10 seconds
    When a client without the shared key connects to "muscat-1"
    Then the client gets the challenge and nothing else

  Scenario: Operators see every process and replace a voter that lost its disk
    Given 4 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is applied through "muscat-1" with request id "first"
    Then every running process has revision 1 in force within 10 seconds
    When the operator applies "grinders.yaml" with --wait through "muscat-2"
    Then the operator's command succeeds
    When the operator runs "processes" through "muscat-2"
    Then the operator's output names "nizwa-1/1"
    When the process "sohar-1" restarts with a wiped disk
    And the operator replaces the voter of "sohar-1" through "muscat-2"
    Then the operator's command succeeds
    And the voters are "muscat-1/1", "nizwa-1/1" and the new voter of "sohar-1"
    When the operator runs "voter remove nobody/1" through "muscat-2"
    Then the operator's command is refused with code 5004

  Scenario: The last remaining disk recovers the system
    Given 3 daemons in 3 zones, of which 3 vote
    When the contract "grinders.yaml" is applied through "muscat-1" with request id "first"
    Then every running process has revision 1 in force within 10 seconds
    When "nizwa-1" and "sohar-1" are lost permanently
    And "muscat-1" is recovered as the sole voter
    Then every running process has revision 1 in force within 10 seconds
    When the contract "grinders.yaml" is applied through "muscat-1" with request id "second"
    Then every running process has revision 2 in force within 10 seconds
