Feature: Odd entries of other writers are refused and nothing else is lost

  An entry is odd if its values are deeply nested, too large, of another type
  or not encodable, or if its address names no port or no machine.

  Scenario Outline: An odd value in any field raises no exception
    Given the decoder of <message>
    Then each odd value in each field is refused or harmless

    Examples:
      | message      |
      | manifest     |
      | job          |
      | announcement |
      | wave         |
      | poll answer  |
      | order answer |

  Scenario Outline: An announcement with an odd value names no worker
    Given the decoder of announcement
    When the field "<field>" holds the JSON <odd>
    Then it fails with code 1001

    Examples:
      | field    | odd                    |
      | address  | "10.0.0.1:99999"       |
      | address  | "10.0.0.1:0"           |
      | address  | "host.example:80"      |
      | address  | "10.0.0.1:99999999999" |
      | sequence | 1e400                  |
      | born     | 1e30                   |
      | labels   | [[[["a"]]], "r1"]      |

  Scenario: An announcement that no process could pass on names no worker
    Given the decoder of announcement
    When the field "service" holds the JSON "\ud800"
    Then it fails with code 1002

  Scenario Outline: An odd entry in the list of hosts hides no other host
    Given a platform that lists 3 hosts
    When the second entry is the JSON <odd>
    Then the hosts "m-1, m-3" are listed

    Examples:
      | odd                                                    |
      | null                                                   |
      | [[[[]]]]                                               |
      | {"machine": 7}                                         |
      | {"machine": "m-2", "pool": "p", "state": [1]}          |
      | {"machine": "m-2", "pool": "p", "state": "up", "id": 1e400} |
      | {"machine": "m-2", "pool": "p", "state": "up", "labels": [[[1]]]} |

  Scenario Outline: An odd announcement replaces no worker
    Given a leader with the worker "i-1"
    When another writer announces "i-1" with <field> <odd>
    Then the announcement is refused with code 1001
    And the worker "i-1" is as before

    Examples:
      | field       | odd                 |
      | incarnation | 9007199254740991    |
      | incarnation | 10000000000000000000000 |
      | port        | 70000               |
      | address     | host.example        |
      | service     | unknown             |

  Scenario Outline: A job that no process could hold is refused
    Given a leader with the worker "i-1"
    When a job with <phases> phases of <count> tasks and <times> occurrences is submitted
    Then the job is refused with code 1001

    Examples:
      | phases | count | times   |
      | 50000  | 10000 | 0       |
      | 1      | 1     | 1000000 |
      | 0      | 1     | 0       |

  Scenario: A job whose identifier would split its tasks' is refused
    Given a leader with the worker "i-1"
    When the job "a.b" is submitted
    Then the job is refused with code 1001

  Scenario Outline: An order to an odd address is not delivered
    When an order is sent to "<address>" at port <port>
    Then the order was certainly not delivered

    Examples:
      | address      | port   |
      | 127.0.0.1    | 70000  |
      | 127.0.0.1    | -1     |
      | host.example | 80     |
      | \ud800       | 80     |

  Scenario: A step that fails does not end its background work
    Given background work whose first step fails
    Then its next step runs

  Scenario: A record that cannot be applied does not stop the log
    Given a state machine with one job
    When a batch with a start of the task "not a task" and a second job is applied
    Then the second job is in the table
