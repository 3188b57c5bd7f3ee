Feature: The absence of an answer or an entry proves nothing

  A host that a list lacks may still exist, and an order without an answer may
  still be executed.

  # Guards against MIXED: a wave that is complete without a maintenance.
  Scenario: A host that one list lacks after an outage is not removed
    Given a wave of 1 hosts with at most 1 down, whose orders get no answer
    When the wave controller runs for 1 seconds
    And the host list fails for 8 seconds
    And the host list lacks host m0 for 1 seconds
    And the wave controller runs for 4 seconds
    Then wave 2 is not complete

  Scenario: A host that all lists lack for a long time is removed
    Given a wave of 1 hosts with at most 1 down, whose orders get no answer
    When the wave controller runs for 1 seconds
    And the host list lacks host m0 for 12 seconds
    Then wave 2 is complete

  Scenario: A move goes on although one list lacks its host
    Given a move of host m0 whose order gets no answer
    When the host list lacks host m0 for 1 passes of the move controller
    Then the move of host m0 is in progress
    When the host list lacks host m0 for 12 passes of the move controller
    Then no move is in progress

  # Guards against LIMIT: the first order is executed beside another one.
  Scenario Outline: A refused order does not disprove an earlier one without an answer
    Given a wave of 2 hosts with at most 1 down, whose orders get no answer
    And a platform that answers later orders as <refusal>
    When the wave controller runs for 12 seconds
    Then only host m0 was ordered down, more than once
    And host m0 may be down

    Examples:
      | refusal   |
      | throttled |
      | busy      |

  Scenario: A host that is down waits again after its order was refused
    Given a wave of 2 hosts with at most 1 down, whose orders get no answer
    And a platform that answers later orders as busy
    When the wave controller runs for 1 seconds
    And the list shows host m0 as down
    And the wave controller runs for 12 seconds
    Then host m1 was ordered down

  Scenario Outline: A refused move does not disprove an earlier one without an answer
    Given a move of host m0 whose order gets no answer
    And a platform that answers later orders as <refusal>
    When the move controller runs 6 passes
    Then the move of host m0 is in progress

    Examples:
      | refusal   |
      | throttled |
      | busy      |

  Scenario: A move that the platform refuses as impossible ends
    Given a move of host m0 whose order gets no answer
    And a platform that answers later orders as refused
    When the move controller runs 6 passes
    Then no move is in progress

  Scenario: A change of the voters without an answer is not reported as not made
    Given a process whose leader "b/1" answers nothing
    When an operator has voter "c/1" removed through it
    Then the change fails with code 5001 and may have been made

  Scenario: A change of the voters without a leader is reported as not made
    Given a process that knows no leader
    When an operator has voter "c/1" removed through it
    Then the change fails with code 5003 and was not made

  # Seen by other operators: a server that had left was in use again.
  Scenario: A late announcement does not bring back an upstream that has left
    Given an upstream of incarnation 2 that has left and whose lease has expired
    When an announcement of its incarnation 2 arrives late
    Then it gets no calls
    When an announcement of its incarnation 1 arrives late
    Then it gets no calls
    When it announces its incarnation 3
    Then it may get calls

  Scenario: An upstream whose lease has expired comes back with an announcement
    Given an upstream of incarnation 2 whose lease has expired
    When it announces its incarnation 2
    Then it may get calls

  # Guards against calls that fail for want of an upstream after a crash.
  Scenario Outline: The next incarnation of an upstream answers for none of the former one's calls
    Given an upstream of incarnation 1 among others
    When <calls> of its calls are in flight
    And <before> of them fail
    And it announces its incarnation 2
    And <after> of them fail
    Then it gets calls in all its slots

    Examples:
      | calls | before | after |
      | 8     | 0      | 0     |
      | 8     | 8      | 0     |
      | 8     | 0      | 8     |
      | 8     | 3      | 5     |

  Scenario: Upstreams that have left are forgotten in the end
    Given an upstream of incarnation 2 that has left and whose lease has expired
    When the directory is idle for 61 seconds
    Then the directory holds nothing of it

  # Guards against CONFIG: a change that is in force was refused when it was
  # sent again through a leader that had been replaced.
  Scenario: A leader without a quorum does not refuse a change by its own state
    Given a leader that has no quorum and does not know a contract
    When an operator has the contract removed through it
    Then the change is in doubt

  Scenario: A leader refuses a change by the state at its place in the log
    Given a leader with a quorum that does not know a contract
    When an operator has the contract removed through it
    Then the change is refused with code 4001
