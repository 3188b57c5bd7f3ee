Feature: A restarted process acts only on a recent state

  A process that is ready uses the contracts and keys that it has applied, and
  passes them on to others. The contact with a leader does not show that they
  are recent.

  # Seen by other operators: a withdrawn key was in use again after a restart.
  Scenario: A restarted voter that lacks committed entries has not caught up
    Given a voter that stored 5 entries of term 1 and restarts
    When the leader of term 1 refers to entry 50, the last committed one
    Then the voter has not caught up
    When the leader of term 1 sends entries 6 to 49
    Then the voter has not caught up
    When the leader of term 1 sends entries 50 to 50
    Then the voter has caught up

  Scenario: A voter under a new leader has not caught up before its first commit
    Given a voter that stored 5 entries of term 1 and restarts
    When the leader of term 2 sends entries 6 to 6 and has committed 0
    Then the voter has not caught up
    When the leader of term 2 sends entries 7 to 7 and has committed 6
    Then the voter has caught up

  Scenario: A voter that has caught up stays so while it lags
    Given a voter that stored 5 entries of term 1 and restarts
    When the leader of term 1 sends entries 6 to 6
    Then the voter has caught up
    When the leader of term 1 refers to entry 50, the last committed one
    Then the voter has caught up

  Scenario: A sole voter has caught up once its log is applied
    Given a sole voter that stored 5 entries of term 1 and restarts
    Then the voter has caught up
    And it has applied 5 entries
