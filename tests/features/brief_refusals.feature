Feature: A leader whose disk refuses a write for a moment

  # The leader went on in its term with lower fencing tokens.
  Scenario: A worker that has restarted runs tasks after its leader's disk refused a write
    Given a leader with a worker that refuses lower fencing tokens
    When the worker restarts
    And the disk of the leader refuses writes for 0.2 seconds
    And a job is accepted
    Then the worker is ordered to run the task within 9 seconds
