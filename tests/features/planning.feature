Feature: Plans for voters and the order of jobs

  Scenario: A lost voter is replaced by a spare, one change at a time
    Given voters a, b and c of which c has been silent for 6 seconds
    And a spare d that reports
    Then the spares to be fed are d
    And nothing is planned
    When d is up to date
    Then the plan is to add d
    When d votes
    Then the plan is to remove c

  Scenario: A silent voter keeps its vote while nothing can take its place
    Given voters a, b and c of which c has been silent for 60 seconds
    Then nothing is planned

  Scenario: A wiped disk is a new voter and its former identity goes first
    Given voters a, b and c of which c has been silent for 2 seconds
    And a spare c with a new disk that reports
    Then the plan is to remove c
    When c with its former disk is removed
    Then nothing is planned
    When c with its new disk is up to date
    Then the new identity of c is to be added

  Scenario: A voter that answers is never taken for a wiped disk
    Given voters a, b and c of which c has been silent for 0 seconds
    And a spare c with a new disk that reports
    Then nothing is planned

  Scenario: A report from before the present voter does not make it gone
    Given voters a, b and c of which c has been silent for 2 seconds
    And a report of c with a former disk, 2500 milliseconds old
    Then nothing is planned

  Scenario: A short restart of a voter changes nothing
    Given voters a, b and c of which c has been silent for 2 seconds
    And a spare d that reports
    When d is up to date
    Then nothing is planned

  Scenario: A spare that does not answer makes room for another
    Given voters a, b and c of which c has been silent for 6 seconds
    And a spare d that reports
    And a spare e that reports
    Then the spares to be fed are d
    When d has not answered for 5 seconds
    Then the spares to be fed are e

  Scenario: As many spares are fed as disks may be lost
    Given voters a, b and c of which c has been silent for 0 seconds
    And 2 losses are to be borne
    And a spare d that reports
    And a spare e that reports
    And a spare f that reports
    Then the spares to be fed are d e

  Scenario: Five voters are never made three
    Given voters a, b and c of which c has been silent for 60 seconds
    And 2 losses are to be borne
    And voters d and e, silent for 60 seconds
    Then nothing is planned

  Scenario: Voters that crowd in one zone give way to a spare in another
    Given voters a, b and c of which c has been silent for 0 seconds
    And a spare d in another zone that reports
    Then the spares to be fed are d
    When d is up to date
    Then the plan is to add d
    When d votes
    Then the plan is to remove b

  Scenario: A burst that asks for more than the pool holds
    Given the order of jobs by what they can still reach
    Then a job that can still be in time goes before one that cannot
    And of two jobs that can, the one that came first goes first

  Scenario: A learner does not invent the answer of an entry it skipped
    Given a learner that a snapshot brought past entry 5
    When the leader says that a claim has its place at entry 5
    Then the claim has no sure outcome

  Scenario: A stalled reader of the log is not waited for
    Given a log stream whose reader takes nothing
    When 10000 lines are written
    Then at most 600000 bytes are held and the rest is counted

  Scenario: A flood of one event is bounded and counted
    Given an event budget of 10 lines and 5 a second
    When 100 lines are asked for at once
    Then 10 are allowed and 90 are counted as left out

  Scenario: A leader serves only what it has applied
    Given a voter with 3 entries on its disk that comes to lead
    When its entries are committed but not applied
    Then it does not serve yet
    When they are applied
    Then it serves

  Scenario: A queue that needs advice on workers is refused and says so
    Given a manifest whose queue needs advice
    When a job is submitted to its queue
    Then the job is refused with code 2103 and has not run
