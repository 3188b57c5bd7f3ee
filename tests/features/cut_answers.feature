Feature: An answer that an upstream cuts short is not passed on as whole

  Background:
    Given a daemon
    And the contract "grinders.yaml" is in force

  Scenario Outline: A large answer streams whole and a cut one is not passed on as whole
    Given an upstream "log-1" of "log" with an answer of <size> bytes
    When "grinders" sends "POST" to "/log/large"
    Then the answer has <size> bytes
    When the upstream "log-1" gets the fault "<fault>"
    And "grinders" sends "POST" to "/log/large" and reads the answer to its end
    Then the answer began with status 200 and was truncated

    Examples:
      | size    | fault         |
      | 70000   | half_answer   |
      | 70000   | late_close    |
      | 70000   | no_last_chunk |
      | 3000000 | half_answer   |
      | 3000000 | late_close    |
      | 3000000 | no_last_chunk |

  Scenario: A pause between two steps is not answered with a refusal instead of a cut answer
    Given an upstream "log-1" of "log" with an answer of 3000000 bytes
    When the upstream "log-1" gets the fault "half_answer"
    And the suite stands still for longer than a lease
    And "grinders" sends "POST" to "/log/large" and reads the answer to its end
    Then the answer began with status 200 and was truncated
