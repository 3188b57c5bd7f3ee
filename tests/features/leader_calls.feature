Feature: Calls to the leader report their outcome in time

  A caller waits 3 seconds. If no leader can be reached, the call fails early
  enough to try elsewhere, and a call that was never sent is reported as not
  run.

  Scenario: A leader becomes unresponsive during a call
    Given a channel whose leader answered a moment ago and now answers nothing
    When a call is made with a timeout of 3 seconds
    Then it fails within 2 seconds with code 5001
    And it may have run

  Scenario: A leader has been unresponsive for seconds
    Given a channel whose leader answered 5 seconds ago and now answers nothing
    When a call is made with a timeout of 3 seconds
    Then it fails within 2 seconds with code 5003
    And it has not run, and the leader was sent only probes

  # Seen on days with cuts: 504 for calls that reached nobody.
  Scenario Outline: A call that was never written is reported as not run
    Given a channel whose leader answered a moment ago and now answers nothing
    And a connection that writes <written> calls and then no more
    When a call is made with a timeout of 3 seconds
    Then it fails within 2 seconds with code <code>
    And the connection never writes the calls that were withdrawn

    Examples:
      | written | code |
      | 0       | 5003 |
      | 1       | 5001 |

  Scenario: A leader without recent calls answers
    Given a channel whose leader answered 5 seconds ago and now answers all
    When a call is made with a timeout of 3 seconds
    Then it is answered

  # Guards against LOST: a job that is acknowledged by the answer to another call.
  Scenario: A late answer to a call of before a restart answers no other call
    Given a channel whose leader answered a moment ago and now answers nothing
    When a call is made after a restart, and one of before is answered late
    Then it fails within 2 seconds with code 5001

  Scenario: A late log position of before a restart is for no other proposal
    Then a log position for a proposal of before a restart is ignored

  # Guards against REFUSED: a job that runs although it was refused.
  Scenario Outline: A refusal after an unanswered attempt is not reported as not run
    Given a channel whose leader answered a moment ago and now answers all
    And a leader that leaves <unanswered> calls unanswered and refuses others
    When a job is submitted within 3 seconds
    Then it fails within 2 seconds with code <code>
    And the leader was sent <sent> calls

    Examples:
      | unanswered | code | sent |
      | 0          | 2101 | 1    |
      | 1          | 5001 | 2    |

  Scenario: The state of a job is reported after an unanswered attempt
    Given a channel whose leader answered a moment ago and now answers all
    And a leader that leaves 1 calls unanswered and refuses others
    When the job is requested within 3 seconds
    Then it fails within 2 seconds with code 2101

  Scenario Outline: Only a request that changes something may have an unknown outcome
    Given a channel whose leader answered a moment ago and now answers nothing
    When <request> within 3 seconds
    Then it fails within 2 seconds with code <code>

    Examples:
      | request              | code |
      | a job is submitted   | 5001 |
      | the job is requested | 5003 |

  Scenario: A slow leader answers
    Given a channel whose leader answered a moment ago and now is slow to act
    When a call is made with a timeout of 3 seconds
    Then it is answered

  Scenario Outline: A slow or failed request logs what it waited for
    Given a captured log
    And a channel whose leader answered <contact> ago and now <behaviour>
    When a job is requested within 3 seconds
    Then the log shows the outcome <outcome> and the longest wait <attempt>

    Examples:
      | contact   | behaviour       | outcome       | attempt     |
      | a moment  | answers nothing | not_committed | unanswered  |
      | 5 seconds | answers nothing | not_leader    | unreached   |
      | a moment  | is disconnected | not_committed | unconnected |
      | a moment  | is not known    | not_leader    | no_leader   |
      | a moment  | is slow to act  | done          | answered    |

  Scenario: A request that is answered at once is not logged as late
    Given a captured log
    And a channel whose leader answered a moment ago and now answers all
    When a job is requested within 3 seconds
    Then the log shows no late request
