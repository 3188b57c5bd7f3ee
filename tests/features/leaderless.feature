Feature: A log that keeps only its last lines shows a group that stands still

  Background:
    Given a captured log

  Scenario: A voter without a leader says so again and again
    Given a voter whose 2 peers never answer
    When 17 simulated seconds pass
    Then the log has 3 leader_unknown events, the last with 15 to 17 seconds

  # A follower keeps the name of the last leader until the next term begins.
  Scenario: A voter whose leader has fallen silent says so again and again
    Given a voter whose 2 peers never answer
    When a leader sends it one heartbeat
    And 16 simulated seconds pass
    Then the log has 2 leader_unknown events, the last with 10 to 12 seconds

  Scenario: A voter that leads reports no lack of a leader
    Given a voter without peers
    When 17 simulated seconds pass
    Then the log has no leader_unknown event

  Scenario: A voter whose disk goes on refusing writes says so again and again
    Given a voter without peers
    When its disk refuses writes for 12 seconds
    Then the log has 2 storage_failing events, the last with 10 to 11 seconds
    When 6 simulated seconds pass
    Then the log has 2 storage_failing events, the last with 10 to 11 seconds
