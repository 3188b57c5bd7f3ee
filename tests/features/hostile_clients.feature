Feature: Clients that send or keep open without end do not end a process

  Each process gets the whole crowd on loopback. The crowd stays open while the
  memory, the descriptors and one ordinary request are checked.

  Scenario Outline: A crowd of clients against an entry process
    Given a process of the platform with the role entry
    When a crowd sends <crowd>
    Then the process answers an ordinary request
    And its memory has grown by less than 40 MiB
    And it has less than 150 open descriptors

    Examples:
      | crowd                       |
      | heads without end           |
      | heads over the limit        |
      | heads of many short lines   |
      | empty lines without end     |
      | trailers without end        |
      | a trailer without end       |
      | bodies in large chunks      |
      | bodies in very small chunks |
      | heads that stay open        |
      | bodies that stay open       |
      | pipelined requests          |

  Scenario Outline: A crowd of clients against a control process
    Given a process of the platform with the role control
    When a crowd sends <crowd>
    Then the process answers an ordinary request
    And its memory has grown by less than 40 MiB
    And it has less than 150 open descriptors

    Examples:
      | crowd                     |
      | manifests in large chunks |
      | heads that stay open      |

  Scenario: Answers that a crowd of clients never reads
    Given a process of the platform with the role control
    And a manifest of 8000 routes is in force
    When a crowd sends requests whose answers stay unread
    Then the process answers an ordinary request
    And its memory has grown by less than 40 MiB

  Scenario Outline: A crowd of clients against a daemon with default limits
    Given a daemon
    When a crowd sends <crowd>
    Then the process answers an ordinary request
    And its memory has grown by less than 80 MiB

    Examples:
      | crowd                  |
      | heads without end      |
      | trailers without end   |
      | bodies in large chunks |

  Scenario: Any bytes in any pieces
    Then 300 sequences of bytes to two connections keep the accounting
