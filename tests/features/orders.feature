Feature: Orders to a worker share a few connections

  Scenario: Orders that come together do not open a connection each
    Given a worker that answers each order after 5 ms
    When 20 orders to it are sent together
    Then all 20 are answered over 2 connections at most

  Scenario: A look that waits holds up no order
    Given a worker that answers each order after 5 ms
    When 3 looks wait at it for 0.4 seconds as 20 orders are sent together
    Then all 20 are answered within 0.3 seconds

  Scenario: Orders to a worker that fell silent are given up in time
    Given a worker that never answers
    When 20 orders to it are sent together
    Then all 20 are given up within 1.4 seconds
