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
