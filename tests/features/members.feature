Feature: Voters bear the losses of a deployment, whatever came before

  Machines with disks stand in zones; the planner of members leads over
  in-memory links. A machine that is away keeps its disk; one that is wiped
  comes back under a new identity.

  Scenario: Two wiped disks after short absences lose nothing
    Given machines a1 a2 b1 b2 c1 c2 of which 2 may be lost
    When a1 and b1 are off for 7 seconds
    And the machines run for 6 seconds
    And zone a is cut off for 6 seconds and then 2 voters outside lose their disks while all restart
    Then a leader accepts and holds all that was accepted

  Scenario Outline: Random absences, cuts and wiped disks
    Given random losses with seeds from <first> to <last>
    Then each time a leader accepted and held all that was accepted

    Examples:
      | first | last |
      | 3000  | 3024 |
      | 3040  | 3049 |

  Scenario Outline: Leadership handed away and back around a wiped disk
    Given random handovers with seeds from <first> to <last>
    Then each time a leader accepted and held all that was accepted

    Examples:
      | first | last |
      | 3100  | 3107 |

  Scenario: A spare whose leader went silent for good reports to the new one
    Given a spare whose leader x has been silent for 10 seconds
    And a process y that leads
    When the spare reports for 2 seconds
    Then y has heard of it
