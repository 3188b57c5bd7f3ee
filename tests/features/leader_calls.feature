Feature: Calls to the leader say what became of them, and in time

  A caller waits 3 seconds. While no leader can be reached it learns so early
  enough to ask elsewhere, and what was never sent is said not to have run.

  Scenario: A leader falls silent while it has a call
    Given a channel whose leader was heard a moment ago and answers nothing
    When a call is made that may take 3 seconds
    Then it fails within 2 seconds with code 5001
    And it may have run

  Scenario: A leader has been silent for seconds
    Given a channel whose leader was heard 5 seconds ago and answers nothing
    When a call is made that may take 3 seconds
    Then it fails within 2 seconds with code 5003
    And it has not run, and the leader was sent nothing but questions

  Scenario: A leader that was idle for long answers
    Given a channel whose leader was heard 5 seconds ago and answers all
    When a call is made that may take 3 seconds
    Then it is answered

  Scenario: A leader takes its time but is there
    Given a channel whose leader was heard a moment ago and is slow to act
    When a call is made that may take 3 seconds
    Then it is answered

  Scenario Outline: A request without a timely answer tells what it waited for
    Given a log that is kept
    And a channel whose leader was heard <heard> ago and <manner>
    When a job is asked for within 3 seconds
    Then the log tells that the request was <outcome> after it was <step>

    Examples:
      | heard     | manner          | outcome       | step        |
      | a moment  | answers nothing | not_committed | unanswered  |
      | 5 seconds | answers nothing | not_leader    | unreached   |
      | a moment  | is cut off      | not_committed | unconnected |
      | a moment  | is not known    | not_leader    | no_leader   |
      | a moment  | is slow to act  | done          | answered    |

  Scenario: A request that is answered at once is not logged as late
    Given a log that is kept
    And a channel whose leader was heard a moment ago and answers all
    When a job is asked for within 3 seconds
    Then the log tells of no late request
