Feature: Runs beside each other do not disturb the daemons that they start

  Scenario: A daemon that ends before it is ready is reported with its log
    Given a daemon whose port for operators is in use
    When the daemon is started
    Then the start fails naming "Address already in use"
    And the daemon has ended with exit code 1

  Scenario: Two runs that begin at the same block are not given the same port
    Given 2 runs with the same process id
    When each of them asks for 3 ports
    Then 6 different ports were given
