@budget
Feature: Planned stops and moves stay within the availability budget

  Background:
    Given a fleet of 4 entry instances for Brazos
    And the sheets of the deployment are in force

  Scenario: Racing operators never get more than one instance down
    When the backend servers of the pool "cutting" are watched
    And 3 planners ask for reboots of "cutting-1 cutting-2" at once
    Then within 40 seconds 2 planned stops are over
    And at most 1 watched instance was down at any moment

  Scenario: Failed and unknown instances of a wave hold the planned stops
    When the backend servers of the pool "rush-desk" are watched
    And a caller starts GET "/rush-desk/rushes" at instance 1 as "long"
      | Desk             | rush-desk |
      | Test-Delay-Ms    | 4000      |
      | Request-Deadline | in 20 s   |
    And the planner asks for a reboot of the server that executes "long"
    And another rack of that server's pool fails
    Then the response "long" has the outcome "answered"
    When 4 seconds pass
    Then no planned stop has started
    When the instance list shows the failed instances as "unknown"
    And 4 seconds pass
    Then no planned stop has started
    When the instance list shows the failed instances as "live"
    Then within 30 seconds 1 planned stop is over
    And no planned stop exceeded a budget of 1

  Scenario: A list that lags behind a reboot does not start the next one
    When the backend servers of the pool "back-office" are watched
    And the instance list lags by 13 s
    And the backend servers take 15 s for a reboot
    And the owner sets the budget of "back-office" to 1
    And the planner asks for a reboot of "back-office-1 back-office-4"
    And 18 seconds pass
    Then at least 1 watched instance was down for 10 s
    And at most 1 watched instance was down at any moment

  @one_pool
  Scenario: A moved instance serves the new pool and never both
    When a caller starts POST "/sizing/sizes" at instance 2 as "long"
      | Desk             | sizing  |
      | Test-Delay-Ms    | 10000   |
      | Request-Deadline | in 20 s |
    And "it" is the server that executes "long"
    And callers keep sending to "sizing cutting"
    And the planner moves "it" to the pool "cutting"
    And 3 seconds pass
    Then all running instances show "it" only in the pool "sizing"
    And within 30 seconds all running instances show "it" only in the pool "cutting"
    And within 14 seconds "it" has executed requests of "cutting"
    When the callers stop
    Then "it" never served "sizing" after it began to serve "cutting"
    And the response "long" has the outcome "answered"
    And no backend server cut off a request

  @one_pool @fresh_fleet
  Scenario: Others finish the operations of an instance that is killed or frozen
    When the backend servers of the pool "front-desk" are watched
    And a caller starts POST "/sizing/sizes" at instance 4 as "long"
      | Desk             | sizing  |
      | Test-Delay-Ms    | 9000    |
      | Request-Deadline | in 20 s |
    And "it" is the server that executes "long"
    And callers keep sending to "sizing cutting"
    And the planner moves "it" to "cutting" and reboots "front-desk-1 front-desk-4"
    And the instance that started an operation at the step draining is killed
    And the log goes down
    And 4 seconds pass
    Then all running instances show "it" in one and the same pool
    When the log comes back
    And the instance of the lowest rank is frozen once an operation is at the step quiesced
    Then within 90 seconds all running instances show "it" only in the pool "cutting"
    And within 14 seconds "it" has executed requests of "cutting"
    When the frozen instance is resumed
    And the callers stop
    Then "it" never served "sizing" after it began to serve "cutting"
    And within 60 seconds at least 1 planned stop is over
    And at most 1 watched instance was down at any moment

  @fresh_fleet
  Scenario: Others finish a reboot whose starter is killed after the stop
    When the backend servers of the pool "cutting" are watched
    And the planner asks for a reboot of "cutting-1"
    And the instance that started an operation at the step stopped is killed
    Then within 60 seconds all running instances show no open operation
    And 1 planned stop is over
    And at most 1 watched instance was down at any moment
