Feature: Orders to a worker share a limited number of connections

  Scenario: Concurrent orders reuse connections
    Given a worker that answers each order after 5 ms
    When 20 orders are sent to it at once
    Then all 20 orders are answered over at most 2 connections

  Scenario: A long poll does not delay orders
    Given a worker that answers each order after 5 ms
    When 20 orders are sent to it at once during 3 polls of 0.4 seconds
    Then all 20 orders are answered within 0.3 seconds

  Scenario: Orders to an unresponsive worker time out together
    Given a worker that never answers
    When 20 orders are sent to it at once
    Then all 20 orders time out within 1.4 seconds
