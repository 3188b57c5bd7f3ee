Feature: The adapter handles any message of other programs

  Decoders of the platform's messages return a message or a numbered failure.
  They never raise an exception, and never return an incomplete worker or job.

  Scenario Outline: Missing, mistyped and malformed fields
    Given the decoder of <message>
    Then it decodes the example
    And it decodes 400 mutations of the example without an exception

    Examples:
      | message      |
      | manifest     |
      | job          |
      | announcement |
      | wave         |
      | poll answer  |
      | order answer |

  Scenario: An announcement without the incarnation is refused
    Given the decoder of announcement
    When the field "born" is missing
    Then it fails with code 1001

  Scenario: An announcement with an unknown state is refused
    Given the decoder of announcement
    When the field "state" is "resting"
    Then it fails with code 1001

  Scenario: A request that may have run is not reported as refused
    Then a failure that may have run is answered with status 504
    And a failure that has certainly not run is answered with status 503 and a retry time

  # Seen as LOST: jobs that were answered 200 had not been stored.
  Scenario Outline: A request that names no job and no queue is refused
    When a caller sends <method> to "<path>"
    Then the response has status <status>, and <count> requests reach the leader

    Examples:
      | method | path                 | status | count |
      | POST   | /p/5c0e7a21d94b36f8  | 400    | 0     |
      | POST   | /p/5C0E7A21D94B36F8  | 400    | 0     |
      | DELETE | /p/5C0E7A21D94B36F8  | 400    | 0     |
      | DELETE | /p/5c0e7a21d94b36f8  | 200    | 1     |
      | POST   | /p/5c0e7a21d94b36f   | 400    | 0     |
      | POST   | /p/5c0e7a21d94b36f8/ | 400    | 0     |
      | POST   | /p/                  | 400    | 0     |
      | DELETE | /p/                  | 400    | 0     |
      | PUT    | /p/5c0e7a21d94b36f8  | 400    | 0     |
      | GET    | /p/                  | 200    | 1     |
      | GET    | /p/5c0e7a21d94b36f8  | 200    | 1     |

  Scenario Outline: Jobs are counted at the path of a queue alone
    When the jobs that wait at "<path>" are counted
    Then the count has code <code>

    Examples:
      | path                    | code |
      | /stops/                 | 0    |
      | /stops/5C0E7A21D94B36F8 | 2101 |
      | /stops                  | 2101 |

  Scenario: A process that is not ready makes its callers reconnect elsewhere
    Then a response of a process that is ready keeps the connection open
    And a response of a process that is not ready closes the connection
