@configuration
Feature: An accepted configuration comes into force everywhere and never reverts

  The log keeps records for 12 s here, so that snapshots are written every 4 s.

  Background:
    Given a fleet of 3 entry instances for Brazos with
      | option      | value |
      | retention_s | 12    |
    And the sheets of the deployment are in force

  Scenario: A publication whose answers are lost is accepted once and comes into force
    When the log loses the answers to the next 3 appends
    And the owner sets the budget of "cutting" to 3
    Then the publication is accepted
    And within 14 seconds the budget of "cutting" is 3 on all instances
    And the log has lost at least 3 answers

  Scenario: Late and repeated publications never revert a later one
    When the owner sets the budget of "cutting" to 2
    And the owner sets the budget of "cutting" to 4
    Then the publication is accepted
    And within 14 seconds the budget of "cutting" is 4 on all instances
    When all publications are appended to the log again
    And 2 seconds pass
    Then the budget of "cutting" is 4 on all instances
    And all instances show the same sheets

  Scenario: Of racing publications one is in force everywhere
    When 4 operators set the budget of "sizing" at once
    Then at least one of these publications is accepted and the others are rejected with the current version
    And within 14 seconds all instances show the same accepted budget of "sizing"

  Scenario: A slow log delays a publication within the bound
    When the log answers 700 ms late
    And the owner sets the budget of "cutting" to 6
    Then the publication is accepted
    And within 14 seconds the budget of "cutting" is 6 on all instances

  Scenario: The owner's row outranks many later rows of the team
    When the owner sets the budget of "cutting" to 2
    And the planner sets the budget of "cutting" to 9 5 times
    Then the budget of "cutting" is 2 on all instances

  Scenario: Of two team rows that disagree the lower one applies and it is reported
    When the planner publishes the deployment's sheet with the rows
      """
      team,pool,sizing,spare,no,
      team,pool,sizing,spare,yes,
      """
    Then the publication is accepted
    And the tool prints "disagree"
    And within 14 seconds "spare" of the pool "sizing" is true on all instances

  Scenario: A late copy of an old snapshot never brings back an old configuration
    When the owner sets the budget of "cutting" to 2
    Then within 14 seconds the log holds a snapshot
    When the owner sets the budget of "cutting" to 9
    Then the publication is accepted
    When instance 3 is killed
    And the oldest snapshot is appended to the log again and all records before the copy expire
    And instance 3 starts
    Then instance 3 shows the budget 9 of "cutting" within 14 seconds and never 2
    And within 14 seconds all instances show the same sheets

  @fresh_fleet
  Scenario: The configuration outlives its record, an outage and every instance
    When the log goes down
    And the owner starts to set the budget of "cutting" to 5
    And 5 seconds pass
    Then the budget of "cutting" is 1 on all instances
    When the log comes back
    Then the started publication is accepted
    And within 14 seconds the budget of "cutting" is 5 on all instances
    When the log goes down
    And 13 seconds pass
    And the log comes back
    And all instances are replaced one after another
    Then the budget of "cutting" is 5 on all instances
    And all instances show the same sheets
    And within 60 seconds instance 1 answers GET "/sizing/sizes/banner"
