Feature: Operators' changes and customers' calls through a real daemon

  Background:
    Given a daemon
    And the contract "grinders.yaml" is in force

  Scenario: A change request that is sent again returns the first result
    When the contract "grinders.yaml" is applied with request id "first"
    Then the command succeeds with revision 1
    When the contract "grinders.yaml" is applied with request id "second"
    Then the command succeeds with revision 2

  Scenario: Of two changes that expect the same revision only the first succeeds
    When the contract "grinders.yaml" is applied to revision 1 as "racer"
    Then the command succeeds with revision 2
    When the contract "grinders.yaml" is applied to revision 1 as "loser"
    Then the command is refused with code 4002 naming "racer"

  Scenario: Operators read contracts, limits and status
    When the operator runs "contract list"
    Then the output names "grinders"
    When the operator runs "contract show grinders"
    Then the output names "BURST_MULTIPLE"
    When the operator runs "explain grinders"
    Then the output names "retry budget"
    When the operator runs "--output json status"
    Then the output is JSON with "contracts" equal to 1
    When the operator runs "contract show nobody"
    Then the command is refused with code 4001 naming "nobody"

  Scenario: Calls within the limit are answered and calls over it are not run
    Given an upstream "fees-1" of "fees" with delay 0.3
    When "grinders" sends 6 calls at once to "/fees/post"
    Then 4 calls are answered with status 200
    And 2 calls fail with code 2003
    And the upstreams ran 4 calls
    And the metric "hornbeamstair_refusals_total" with code 2003 is 2

  Scenario: Calls of unknown customers, of unknown services or without an upstream fail
    Given an upstream "fees-1" of "fees" with delay 0
    When "strangers" sends 1 calls at once to "/fees/post"
    Then 1 calls fail with code 2001
    When "grinders" sends 1 calls at once to "/orders/post"
    Then 1 calls fail with code 2002
    When "grinders" sends 1 calls at once to "/log/post"
    Then 1 calls fail with code 2007

  Scenario: A keyed call runs once, also after kill -9 and a restart
    Given an upstream "fees-1" of "fees" with delay 0
    When "grinders" sends a call with key "fee-1" to "/fees/post"
    And "grinders" sends a call with key "fee-1" to "/fees/post"
    Then 1 calls are answered with status 200
    When the daemon is killed and started again
    And the upstreams announce themselves
    And "grinders" sends a call with key "fee-1" to "/fees/post"
    Then 1 calls are answered with status 200
    And the upstreams ran 1 calls
    When "grinders" sends the body "other" with key "fee-1" to "/fees/post"
    Then 1 calls fail with code 2009
    And the upstreams ran 1 calls

  Scenario: A keyed call that a kill interrupts is never run again
    Given an upstream "fees-1" of "fees" with delay 1
    When the daemon is killed while a call with key "fee-2" is in progress
    And the daemon is started again
    And the upstreams announce themselves
    And "grinders" sends a call with key "fee-2" to "/fees/post"
    Then 1 calls fail with code 2011
    And the upstreams ran 1 calls

  Scenario: The contract is in force after kill -9
    When the daemon is killed and started again
    And the operator runs "contract list"
    Then the output names "grinders"

  Scenario: A graceful stop interrupts no call
    Given an upstream "fees-1" of "fees" with delay 0.5
    When the daemon is stopped while 2 calls to "/fees/post" are in progress
    Then 2 calls are answered with status 200
    And the daemon exited with code 0

  Scenario: An upstream that leaves or whose lease expires gets no new calls
    Given an upstream "fees-1" of "fees" with delay 0
    When the upstream "fees-1" leaves
    And "grinders" sends 1 calls at once to "/fees/post"
    Then 1 calls fail with code 2007
    Given an upstream "fees-2" of "fees" with delay 0
    When the upstream "fees-2" stops renewing its lease for 2 seconds
    And "grinders" sends 1 calls at once to "/fees/post"
    Then 1 calls fail with code 2007
    And the upstreams ran 0 calls

  Scenario: The daemon runs one loop on one thread and logs numbered events
    Given an upstream "fees-1" of "fees" with delay 0
    When "grinders" sends 1 calls at once to "/fees/post"
    Then the daemon has 1 thread
    And every log line is a JSON object
    And the log has event 3001
