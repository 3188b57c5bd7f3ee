Feature: Connections between processes follow the calls, not the processes

  A leader answers hundreds of processes. Each of them opens a connection to
  it, and the answers come back over that connection.

  Scenario: A process that answers opens no connections
    Given a process that answers and 20 that ask
    When each of them asks 3 times
    Then each of them has 3 answers
    And the process that answers has opened 0 connections

  Scenario: A process of an earlier version gets its answers as before
    Given a process that answers and 1 that asks as an earlier version
    When each of them asks 3 times
    Then each of them has 3 answers
    And the process that answers has opened 1 connections

  Scenario: A connection that its other end closed is opened again at once
    Given a process that answers and 1 that ask
    When each of them asks 1 times
    And the process that answers is restarted
    Then a question without a retry is answered within 1 seconds

  Scenario: A message that its receiver cannot handle closes no connection
    Given a process that answers and 1 that ask
    When the first question cannot be handled
    And each of them asks 3 times
    Then each of them has 2 answers
    And 1 connection was accepted

  # The receiver closes the connection, and the sender tries again for ever.
  Scenario: A message that is too large for its receiver closes no connection
    Given a process that answers and 1 that ask
    When a question of 33 MiB is sent
    And each of them asks 3 times
    Then each of them has 3 answers
    And 1 connection was accepted
