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

  # An order that is written late may reach the next incarnation of its worker,
  # which starts what has been done (TWICE).
  Scenario: An order that has waited too long for others is not written
    Given a worker that answers an order 2 seconds after it came
    When 6 orders that are valid for 0.3 seconds are sent to it
    Then the worker has received 2 orders
    And 4 orders have expired

  Scenario: An order that has waited too long for its connection is not written
    Given a worker that answers an order 0 seconds after it came
    And a connection to it takes 0.4 seconds
    When 1 orders that are valid for 0.2 seconds are sent to it
    Then the worker has received 0 orders
    And 1 orders have expired

  Scenario: An order that waited while the machine was suspended is not written
    Given a worker that answers an order 0 seconds after it came
    And a connection to it takes 0.1 seconds
    When the machine is suspended for 5 seconds while an order that is valid for 0.5 seconds waits
    Then the worker has received 0 orders
    And 1 orders have expired

  # A leader of before would give an order about a host beside the next one.
  Scenario: An order about a host that waited while the machine was suspended is not sent
    Given a worker that answers an order 0 seconds after it came
    And a connection to it takes 0.1 seconds
    When the machine is suspended for 5 seconds while an order about a host that is valid for 0.5 seconds waits
    Then the worker has received 0 orders
    And the outcome of the order about the host is unknown

  Scenario: Orders that wait for a connection time out while their sender is paused
    Given a worker that answers an order 0 seconds after it came
    When 4 orders without a limit are sent to it before a long pause
    Then the worker has received 0 orders

  Scenario: Orders that wait for other orders time out while their sender is paused
    Given a worker that answers an order 0.3 seconds after it came
    When 4 orders without a limit are sent to it, with a long pause after 0.1 seconds
    Then the worker has received 2 orders

  Scenario: An order that has waited for less than its limit is written
    Given a worker that answers an order 0.1 seconds after it came
    And a connection to it takes 0.1 seconds
    When 4 orders that are valid for 0.5 seconds are sent to it
    Then the worker has received 4 orders
    And 0 orders have expired

  # Taken for one that the worker may execute late, it kept its task from running elsewhere.
  Scenario Outline: An order that finds no connection is known not to be delivered
    Given no worker at the address of an order
    When a start is sent there through the <interface> interface
    Then the outcome of the start is "undelivered"

    Examples:
      | interface |
      | own       |
      | platform  |
