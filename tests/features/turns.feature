Feature: Hosts follow a demand that comes by turns
  Pools ask one after the other for more than each of them holds, as shops do
  whose sales follow each other. A move of a host takes half of a turn.

  Scenario: Once the round is known, hosts arrive before each turn
    Given 4 pools that ask by turns of 4.5 seconds
    When 18 seconds have passed
    And the figures of 36 more seconds are counted
    Then 90 of 100 jobs end in time

  Scenario: A round of another length is learned as well
    Given 4 pools that ask by turns of 7 seconds
    When 28 seconds have passed
    And the figures of 28 more seconds are counted
    Then 90 of 100 jobs end in time

  Scenario: Turns in an unknown order are served as without a forecast
    Given 4 pools that ask by turns of 4.5 seconds in random order
    When 18 seconds have passed
    And the figures of 36 more seconds are counted
    Then as many jobs end in time as without a forecast of turns

  Scenario: A pool that asks for more than all hosts does not starve the next
    Given 4 pools of which the first asks for more than all hosts can do
    When 6 seconds have passed
    And the figures of 8 seconds of the next pool's turn are counted
    Then 35 of 100 jobs of the next pool end in time

  Scenario: A run that has to leave its host comes before a turn
    A wave waits for it, and a hundred hosts less one serve a turn as well.

    Given a pool that lacks 9 hosts and one with a run that fits nowhere
    When one host is idle
    Then it moves to the pool with the run

  Scenario: A steady demand is not taken for turns
    Given 4 pools with a steady demand
    When 30 seconds have passed
    Then no turn is expected
    And 90 of 100 jobs end in time

  Scenario: A turn that does not come is not waited for
    Given 4 pools that ask by turns of 4.5 seconds until the second round
    When 22 seconds have passed
    Then hosts of no pool wait for a turn

  Scenario: A new leader learns the turns from the jobs that were accepted
    Given jobs of a queue that were accepted in two turns
    When a new leader reads them
    Then it expects the third turn
