Feature: Membership plans, job order and bounded logging

  Scenario: An unreachable voter is replaced by a non-voter, one change at a time
    Given voters a, b and c of which c has been unresponsive for 6 seconds
    And a non-voter d that reports
    Then the learners are d
    And nothing is planned
    When d has caught up
    Then the plan is to add d
    When d is a voter
    Then the plan is to remove c

  Scenario: An unreachable voter is kept while it has no replacement
    Given voters a, b and c of which c has been unresponsive for 60 seconds
    Then nothing is planned

  Scenario: The old voter ID of a process with a wiped disk is removed first
    Given voters a, b and c of which c has been unresponsive for 2 seconds
    And a non-voter c with a new disk that reports
    Then the plan is to remove c
    When the old voter ID of c is removed
    Then nothing is planned
    When the new voter ID of c has caught up
    Then the new voter ID of c is to be added

  Scenario: A responsive voter is never superseded
    Given voters a, b and c of which c has been unresponsive for 0 seconds
    And a non-voter c with a new disk that reports
    Then nothing is planned

  Scenario: An older report of a previous voter ID does not supersede a voter
    Given voters a, b and c of which c has been unresponsive for 2 seconds
    And a report of a previous voter ID of c, 2500 milliseconds old
    Then nothing is planned

  Scenario: A short restart of a voter causes no change
    Given voters a, b and c of which c has been unresponsive for 2 seconds
    And a non-voter d that reports
    When d has caught up
    Then nothing is planned

  Scenario: An unresponsive learner is replaced by another
    Given voters a, b and c of which c has been unresponsive for 6 seconds
    And a non-voter d that reports
    And a non-voter e that reports
    Then the learners are d
    When d has not answered for 5 seconds
    Then the learners are e

  Scenario: There are as many learners as tolerated failures
    Given voters a, b and c of which c has been unresponsive for 0 seconds
    And a fault tolerance of 2
    And a non-voter d that reports
    And a non-voter e that reports
    And a non-voter f that reports
    Then the learners are d e

  Scenario: Five voters are not reduced to three
    Given voters a, b and c of which c has been unresponsive for 60 seconds
    And a fault tolerance of 2
    And voters d and e, unresponsive for 60 seconds
    Then nothing is planned

  Scenario: A non-voter in another zone replaces one of three voters in a zone
    Given voters a, b and c of which c has been unresponsive for 0 seconds
    And a non-voter d in another zone that reports
    Then the learners are d
    When d has caught up
    Then the plan is to add d
    When d is a voter
    Then the plan is to remove b

  Scenario: Jobs that can still meet their objective come first

    The order matters when a burst exceeds the capacity of the pool.

    Given the job order by objective
    Then a job that can still meet its objective comes before one that cannot
    And of two jobs that can, the one accepted first comes first
    And a job that may run too long comes last only if it has not begun

  Scenario: A learner reports no outcome for an entry that its snapshot skipped
    Given a learner whose snapshot covers entry 5
    When the leader answers that a claim was appended as entry 5
    Then the outcome of the claim is unknown

  # Guards against a process that aborts: its entries were not applied in order.
  Scenario: A learner ignores the late feed of the process before its restart
    Given a learner without entries
    When it is fed the entries from 6 to 8 that its previous process asked for
    Then the learner has applied 0 entries
    When it is fed the entries from 1 to 8
    Then the learner has applied 8 entries

  Scenario: A stalled reader of the event log does not block writes
    Given a log stream whose reader has stalled
    When 10000 lines are written
    Then at most 600000 bytes are buffered and the rest is counted as dropped

  Scenario: A burst of one event is rate-limited and counted
    Given an event rate limit of 5 lines a second with a burst of 10
    When 100 lines are requested at once
    Then 10 are allowed and 90 are counted as dropped

  Scenario: A leader serves only what it has applied
    Given a voter with 3 stored entries that becomes the leader
    When its entries are committed but not applied
    Then it does not serve reads yet
    When they are applied
    Then it serves reads

  Scenario: A job of a queue that needs worker advice is refused
    Given a manifest whose queue needs advice
    When a job is submitted to its queue
    Then the job is refused with code 2103 and has not run
