Feature: A deployment keeps its fault tolerance as hosts fail and return

  Hosts with disks are placed in zones and simulated on an in-memory network;
  the leader changes the voters by the membership planner. A host that is
  powered off keeps its disk; a wiped one restarts with a new voter ID.

  Scenario: Two wiped disks after short outages lose no accepted payload
    Given hosts a1 a2 b1 b2 c1 c2 with a fault tolerance of 2
    When a1 and b1 are powered off for 7 seconds
    And the hosts run for 6 seconds
    And zone a is partitioned for 6 seconds and then 2 voters outside lose their disks while all restart
    Then a leader accepts payloads and holds all accepted ones

  Scenario Outline: Random outages, partitions and wiped disks
    Given random failures with seeds from <first> to <last>
    Then in each run a leader accepted payloads and held all accepted ones

    Examples:
      | first | last |
      | 3000  | 3024 |
      | 3040  | 3049 |

  Scenario Outline: Leadership transfers before and after a wiped disk
    Given random transfers with seeds from <first> to <last>
    Then in each run a leader accepted payloads and held all accepted ones

    Examples:
      | first | last |
      | 3100  | 3107 |

  Scenario: A non-voter whose leader is unresponsive reports to the new leader
    Given a non-voter whose leader x has been unresponsive for 10 seconds
    And a process y that leads
    When the non-voter reports for 2 seconds
    Then y has received a report
