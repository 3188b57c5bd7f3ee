Feature: Upstreams that fail do not break what calls were promised

  Background:
    Given a daemon that waits 1 seconds for answers
    And the contract "grinders.yaml" is in force

  Scenario Outline: A call that is not idempotent is sent once and fails with the code of the fault
    Given an upstream "fees-1" of "fees" with fault "<fault>"
    When "grinders" sends 1 calls at once to "/fees/post"
    Then 1 calls fail with code <code>
    And the upstreams ran <runs> calls

    Examples:
      | fault            | code | runs |
      | close_after_read | 3003 | 1    |
      | silent           | 3003 | 1    |
      | half_answer      | 3004 | 1    |
      | refuse_not_run   | 3002 | 0    |

  Scenario Outline: The HTTP client does not resend a request by itself if a reused connection breaks
    Given an upstream "<service>-1" of "<service>" with delay 0
    When "grinders" sends "GET" to "/<service>/warm"
    Then 1 calls are answered with status 200
    When the upstream "<service>-1" gets the fault "close_after_read"
    And "grinders" sends "GET" to "/<service>/read"
    Then the request "GET /<service>/read" arrived <runs> times

    Examples:
      | service | runs |
      | fees    | 1    |
      | log     | 3    |

  Scenario: An idempotent call is retried on another upstream
    Given an upstream "log-1" of "log" with fault "close_after_read"
    And an upstream "log-2" of "log" with delay 0
    When "grinders" sends 4 calls one after another to "/log/post"
    Then 4 calls are answered with status 200

  Scenario: A call that was refused before it ran is retried although it is not idempotent
    Given an upstream "fees-1" of "fees" with fault "refuse_not_run"
    And an upstream "fees-2" of "fees" with delay 0
    When "grinders" sends 4 calls one after another to "/fees/post"
    Then 4 calls are answered with status 200
    And the upstreams ran 4 calls

  Scenario: A late answer is not delivered to another call
    Given an upstream "fees-1" of "fees" that echoes after 1.3 seconds
    When "grinders" sends 1 calls at once to "/fees/first"
    Then 1 calls fail with code 3003
    When the upstream "fees-1" echoes after 0 seconds
    And "grinders" sends concurrent calls to "/fees/second /fees/third"
    Then each answer equals the path of its call

  Scenario: A call to an upstream with a closed port is retried on another upstream
    Given an upstream "fees-1" of "fees" with delay 0
    And an upstream "fees-2" of "fees" with delay 0
    When the upstream "fees-1" closes its port
    And "grinders" sends 4 calls one after another to "/fees/post"
    Then 4 calls are answered with status 200
    And the upstreams ran 4 calls
