Feature: Orders to workers go through a process in the zone of the worker

  On a site with hundreds of workers, the orders and polls take most of the
  time of the leader's event loop; other processes of its group send them.

  Scenario: A start goes through the relay of the zone, with the text of its own log
    Given a leader in zone "a" and a relay in zone "b" that has the job
    When the leader starts a run on a worker in zone "b"
    Then the relay has sent 1 start with the text of the job
    And the leader has sent 0 orders itself
    And the outcome is "done"

  Scenario: The leader sends to its own zone and to zones without a relay
    Given a leader in zone "a" and a relay in zone "b" that has the job
    When the leader starts a run on a worker in zone "a"
    Then the leader has sent 1 orders itself

  Scenario: On a small site the leader sends all orders
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the site has 30 workers
    When the leader starts a run on a worker in zone "b"
    Then the leader has sent 1 orders itself

  Scenario: A start of a job that the relay does not know is sent once by the leader
    Given a leader in zone "a" and a relay in zone "b" without the job
    When the leader starts a run on a worker in zone "b"
    Then the relay has sent 0 starts
    And the leader has sent 1 orders itself
    And the outcome is "done"

  Scenario: A relay sends no orders of a previous leader
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay knows a newer term
    When the leader starts a run on a worker in zone "b"
    Then the relay has sent 0 starts

  Scenario: The outcome of a start through a relay that falls silent is unknown
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay falls silent after it got an order
    When the leader starts a run on a worker in zone "b"
    Then the outcome is "unknown" after at most 0.3 seconds
    And the leader has sent 0 orders itself
    When the leader starts a run on a worker in zone "b"
    Then the leader has sent 1 orders itself

  Scenario: A poll through a relay that falls silent is repeated by the leader
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay falls silent after it got an order
    When the leader polls a worker in zone "b"
    Then the outcome is "done"
    And the leader has sent 1 orders itself

  Scenario: A worker that its relay cannot reach is reached by the leader
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay cannot reach its workers
    When the leader polls a worker in zone "b"
    Then the outcome is "unknown"
    When the leader polls a worker in zone "b"
    Then the outcome is "done"

  # Seen as TWICE: the next incarnation of a worker started tasks that were done.
  Scenario: A relay that was frozen sends no order of before
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay is frozen
    When the leader starts a run on a worker in zone "b"
    Then the outcome is "unknown"
    When the relay goes on after 5 seconds
    Then the relay has sent 0 starts

  Scenario: A leader that was paused does not send an order of before itself
    Given a leader in zone "a" and a relay in zone "b" without the job
    And the leader is paused for 5 seconds after it has asked the relay
    When the leader starts a run on a worker in zone "b"
    Then the leader has sent 0 orders itself
    And the outcome is "unknown"

  Scenario: An order keeps its limit on the clock of its relay
    Given a leader in zone "a" and a relay in zone "b" that has the job
    When the leader starts a run on a worker in zone "b"
    Then the relay has to send the order within 0.5 seconds on its clock

  Scenario: An order that waited too long at its relay is not sent by the leader
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay finds after 0.6 seconds that its order has expired
    When the leader starts a run on a worker in zone "b"
    Then the outcome is "unknown"
    And the leader has sent 0 orders itself
    When the leader starts a run on a worker in zone "b"
    Then the leader has sent 1 orders itself

  Scenario: An order that its relay did not send is sent by the leader in time
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay finds after 0.1 seconds that its order has expired
    When the leader starts a run on a worker in zone "b"
    Then the outcome is "done"
    And the leader has sent 1 orders itself

  # The cursor and the lease of a poll are those of one incarnation.
  Scenario: A poll of before is not repeated by the leader
    Given a leader in zone "a" and a relay in zone "b" that has the job
    And the relay falls silent 0.7 seconds after it got an order
    When the leader polls a worker in zone "b"
    Then the outcome is "unsent"
    And the leader has sent 0 orders itself

  Scenario: A delayed report does not make the clock of a relay seem slower
    Given a relay with a report at 10.0 and one delayed by 3.0 seconds
    Then its clock shows at least 520.0 at 30.0
    When the relay restarts and reports the time 3.0 at 40.0
    Then its clock shows at least 5.0 at 42.0

  Scenario: A process that does not answer the leader is no relay
    Given a relay that reported at 10.0 and answered at 10.0
    Then it is a relay at 10.3
    And it is no relay at 10.4

  # A leader that sent all orders itself because it was late stayed late.
  Scenario: A leader that reads the answers late does not take its relays for silent
    Given a relay that reported at 10.0 and answered at 10.0
    Then it is a relay at 10.1
    And it is a relay at 10.5
    And it is no relay at 10.6

  Scenario: The relays of a zone share its workers
    Given a site with 1000 workers and 2 relays in their zone
    Then each relay is chosen for 400 to 600 workers
    And the same relay is chosen for a worker each time

  Scenario: A leader sends a bounded number of polls to a zone without relays
    Given a site with 1000 workers and 2 relays in another zone
    Then the leader sends the polls to 256 workers itself
    And each relay is chosen for 300 to 450 workers

  Scenario: Orders and answers are the same after they were relayed
    Then 200 random orders and answers survive the codec
    And odd batches are refused
