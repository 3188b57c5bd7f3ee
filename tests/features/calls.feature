Feature: Callers are told correctly whether and how often their calls ran

  Scenario: Random calls, resends and crashes match an oracle that counts runs
    Then a hypothesis run of calls with 150 examples of 30 steps finds no difference

  Scenario Outline: Queued calls are served fairly and urgent first, and can be cancelled
    Given queued calls "<queued>"
    When "<cancelled>" are cancelled
    Then the calls leave the queue in the order "<order>"

    Examples:
      | queued                                   | cancelled | order          |
      | a1:x:1:urgent a2:x:1:urgent b1:y:1:urgent |           | a1 b1 a2       |
      | n1:x:1:batch u1:y:1:urgent               |           | u1 n1          |
      | a1:x:1:urgent a2:x:1:urgent a3:x:1:urgent b1:y:2:urgent b2:y:2:urgent | | b1 a1 b2 a2 a3 |
      | a1:x:1:urgent a2:x:1:urgent b1:y:1:urgent | a1 b1     | a2             |

  Scenario: The last of many queued calls leaves after all others are cancelled

    A cancellation has to take constant time, however long the queue is. The
    scenario does not measure that.

    Given 20000 queued calls of one customer
    When all but the last are cancelled from the front
    Then the last call leaves next

  Scenario: Failing upstreams are ejected up to the ejection limit
    Given a service with 6 upstreams of which 3 fail every call
    When 400 calls are sent to random upstreams
    Then at most 2 upstreams are ejected
    And only failing upstreams are ejected

  Scenario: Retries are limited by the retry budget of the contract
    Given a retry budget of 2 per second
    When 1000 retries are requested within 10 seconds
    Then at most 40 retries are allowed

  Scenario: A resend through a lagging process gets the recorded answer
    Given a keyed call that was answered through "entry-1"
    And "entry-2" has applied only its claim
    When the call is sent again through "entry-2"
    Then it gets the recorded answer

  Scenario: A resend through a lagging process may run if the key was released
    Given a keyed call that "entry-1" claimed and did not run
    And "entry-2" has applied only its claim
    When the call is sent again through "entry-2"
    Then it gets no answer and may claim its key

  Scenario: A resend gets an unknown outcome while the log commits nothing
    Given a keyed call that was answered through "entry-1"
    And "entry-2" has applied only its claim
    And the log commits nothing
    When the call is sent again through "entry-2"
    Then it is refused with an unknown outcome

  Scenario: An outcome that cannot be committed is logged as an event
    Given a keyed call that "entry-1" claimed and did not run
    And the log commits nothing
    When its outcome is recorded through "entry-1"
    Then an event with its key is logged

  # Guards against TWICE: a key that is claimed counted as not sent.
  Scenario: A claim without an answer does not free the key of a running call
    Given a keyed call that "entry-1" has sent and that is running
    When the log commits nothing and "entry-1" claims the same key
    And the call is sent again through "entry-1"
    Then it is refused as in progress

  Scenario: A call whose claim got no answer may be sent again
    Given a call whose claim through "entry-1" was committed without an answer
    When the call is sent again through "entry-1"
    Then it gets no answer and may claim its key

  Scenario: A call that was not run frees its key for the next one
    Given a keyed call that "entry-1" claimed and did not run
    When the call is sent again through "entry-1"
    Then it gets no answer and may claim its key

  # Guards against TWICE: a late release frees the key of a running call.
  Scenario: A call does not run while the release of its key is unconfirmed
    Given a keyed call that "entry-1" claimed and did not run
    And "entry-2" has applied only its claim
    And the log loses its answers after 3 commands
    When the call is sent again through "entry-2"
    Then it is refused as not run
