Feature: A task waits for its rack while the wait pays

  The run times in these scenarios double away from the rack of the data.

  Scenario Outline: The expected gain decides
    When a run of 4 s would gain 4 s, room is expected in <expected> s, the phase has waited <waited> s and has a slack of <slack> s
    Then the decision is: <decision>

    Examples:
      | expected | waited | slack | decision        |
      | 1        | 0      | 10    | waits           |
      | 5        | 0      | 10    | starts anywhere |
      | inf      | 0      | 10    | starts anywhere |
      | 1        | 6      | 10    | waits           |
      | 1        | 7.5    | 10    | starts anywhere |
      | 1        | 0      | 0.5   | starts anywhere |
      | 1        | 0      | -1    | waits           |

  Scenario Outline: The factor of a rack comes from the settings
    When a process reads settings with <bounds>
    Then its rack factor is <factor>

    Examples:
      | bounds                  | factor |
      | cross_rack_factor = 2.5 | 2.5    |
      | grace_s = 6             | 1      |
      | cross_rack_factor = 0.5 | 1      |

  Scenario: Room that is expected soon is worth a wait
    Given 2 racks of 2 workers with expected gain, seed 21
    And the hot rack runs 8 tasks of 1 s
    When a job of 2 tasks of 4 s wants rack hot
    And 8 seconds pass
    Then the job has run on the hot rack alone

  Scenario Outline: No task waits in vain
    Given 2 racks of 2 workers with <policy>, seed 22
    And the hot rack runs 8 tasks of <busy> s
    When a job of 2 tasks of 4 s wants rack <rack>
    And 0.5 seconds pass
    Then the job runs elsewhere

    Examples:
      | policy        | busy | rack    |
      | expected gain | 30   | hot     |
      | expected gain | 1    | unknown |
      | fixed wait    | 1    | unknown |
      | no wait       | 1    | hot     |

  Scenario: A rack that goes dark ends all waits for it
    Given 2 racks of 2 workers with expected gain, seed 23
    And the hot rack runs 8 tasks of 3 s
    When 3 jobs of 2 tasks of 8 s want the hot rack
    And 0.5 seconds pass
    Then no task of these jobs has started
    When the hot rack goes dark
    And 3 seconds pass
    Then the 3 jobs run elsewhere

  Scenario: A rack that too many want is given up early, the last first
    Given 2 racks of 2 workers with expected gain, seed 24
    And the hot rack runs 8 tasks of 1 s
    When 6 jobs of 2 tasks of 2 s want the hot rack
    And 0.2 seconds pass
    Then the last jobs run elsewhere, and the first wait
    When 8 seconds pass
    Then every job is completed

  Scenario: Waits hold nothing else back
    Given 2 racks of 2 workers with expected gain, seed 25
    And the hot rack runs 8 tasks of 3 s
    When 60 jobs of 1 tasks of 8 s want the hot rack
    And a job of 1 tasks of 1 s wants rack none
    And 0.5 seconds pass
    Then at most 16 phases wait, and no worker elsewhere is idle

  Scenario: A wait begins anew with a new leader, and ends
    Given 2 racks of 2 workers with expected gain, seed 26
    And the hot rack runs 8 tasks of 3 s
    When a job of 2 tasks of 4 s wants rack hot
    And 1 seconds pass
    And the leader changes
    And 16 seconds pass
    Then every job is completed

  Scenario: A gang that needs one rack waits as one
    Given 2 racks of 2 workers with expected gain, seed 27
    And each rack runs 6 tasks of 1 s
    When a gang of 4 tasks of 4 s is accepted
    And 0.5 seconds pass
    Then no task of these jobs has started
    When 1.5 seconds pass
    Then all of the gang runs on one rack

  Scenario Outline: Under a hot rack, the expected gain serves callers better
    Given a pool of 4 racks of 4 workers under <rate> jobs a second, <hot> of which want one rack, seed <seed>
    When it is played with no wait and with expected gain
    Then the expected gain has no more late jobs and a lower mean time

    Examples:
      | rate | hot | seed |
      | 8    | 0.5 | 31   |
      | 10   | 0.3 | 32   |
