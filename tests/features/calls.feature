Feature: Calls run as often as their callers are told

  Scenario: A state machine of hypothesis against an oracle that counts runs
    Then a hypothesis run of calls with 150 examples of 30 steps finds no difference

  Scenario Outline: Queued calls are fair, urgent first, and cancelled in O(1)
    Given queued calls "<queued>"
    When "<cancelled>" are cancelled
    Then the calls leave in the order "<order>"

    Examples:
      | queued                                   | cancelled | order          |
      | a1:x:1:urgent a2:x:1:urgent b1:y:1:urgent |           | a1 b1 a2       |
      | n1:x:1:batch u1:y:1:urgent               |           | u1 n1          |
      | a1:x:1:urgent a2:x:1:urgent a3:x:1:urgent b1:y:2:urgent b2:y:2:urgent | | b1 a1 b2 a2 a3 |
      | a1:x:1:urgent a2:x:1:urgent b1:y:1:urgent | a1 b1     | a2             |

  Scenario: A flood of cancellations costs the same for each
    Given 20000 queued calls of one customer
    When all but the last are cancelled from the front
    Then the last call leaves next

  Scenario: An upstream that fails everything is ejected within its bound
    Given a service of 6 upstreams of which 3 fail everything
    When 400 calls are sent by random choice
    Then at most 2 upstreams are ejected
    And each ejected upstream is one that fails

  Scenario: A retry storm is bounded by the budget of the contract
    Given a retry budget of 2 a second
    When 1000 retries are asked for within 10 seconds
    Then at most 40 retries are allowed

  Scenario: A resend through a process that lags gets the recorded answer
    Given a keyed call that was answered through "entry-1"
    And "entry-2" has heard of its claim alone
    When the call is sent again through "entry-2"
    Then it gets the recorded answer

  Scenario: A resend through a process that lags may run if the key was freed
    Given a keyed call that "entry-1" claimed and did not run
    And "entry-2" has heard of its claim alone
    When the call is sent again through "entry-2"
    Then it has no answer yet and may claim its key

  Scenario: A resend is told nothing for sure while nothing can be recorded
    Given a keyed call that was answered through "entry-1"
    And "entry-2" has heard of its claim alone
    And nothing can be recorded
    When the call is sent again through "entry-2"
    Then it is told that the outcome is not known

  Scenario: An outcome that could not be recorded shows in the log
    Given a keyed call that "entry-1" claimed and did not run
    And nothing can be recorded
    When its outcome is recorded through "entry-1"
    Then an event names its key
