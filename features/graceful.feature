@graceful
Feature: A planned stop never cuts off a request in flight

  Background:
    Given a fleet of 3 entry instances for Brazos
    And the sheets of the deployment are in force

  Scenario: A planned stop waits for the requests of all instances
    When callers keep sending requests of 400 ms to "cutting"
    And a caller starts POST "/cutting/cuts" at instance 2 as "long"
      | Desk             | cutting |
      | Test-Delay-Ms    | 7000    |
      | Request-Deadline | in 25 s |
    And the planner asks for a reboot of the server that executes "long"
    And 4 seconds pass
    Then "long" is still waiting
    And no planned stop of that server has started
    And the response "long" has the outcome "answered"
    And within 20 seconds the planned stop of that server is over
    When the callers stop
    Then the planned stop began after the end of every request
    And no backend server cut off a request
    And every request of the callers was answered

  Scenario: An outage of the log during a drain advances no planned stop
    When a caller starts POST "/front-desk/notes" at instance 1 as "long"
      | Desk             | front-desk |
      | Test-Delay-Ms    | 4000       |
      | Request-Deadline | in 25 s    |
    And the planner asks for a reboot of the server that executes "long"
    And the log goes down
    And 7 seconds pass
    Then no planned stop of that server has started
    And the response "long" has the outcome "answered"
    When the log comes back
    Then within 30 seconds the planned stop of that server is over
    And the planned stop began after the end of every request
    And no backend server cut off a request

  Scenario: An entry instance that gets SIGTERM answers its requests and ends with 0
    When callers start 8 requests GET "/sizing/sizes" at instance 3 as "held"
      | Desk             | sizing  |
      | Test-Delay-Ms    | 3000    |
      | Request-Deadline | in 20 s |
    And a caller starts POST "/front-desk/orders/7/charge" at instance 3 as "charge"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Test-Delay-Ms    | 3000       |
      | Request-Deadline | in 20 s    |
    Then within 10 seconds the request "held 8" is being executed
    And within 10 seconds the request "charge" is being executed
    When instance 3 gets SIGTERM
    Then instance 3 exits with the code 0
    And every response "held" has the outcome "answered"
    And the response "charge" has the outcome "answered"
    And the request "charge" was executed exactly once

  Scenario: An entry instance ends with 0 while the log is down
    When a caller starts GET "/sizing/sizes" at instance 2 as "held"
      | Desk             | sizing  |
      | Test-Delay-Ms    | 2000    |
      | Request-Deadline | in 20 s |
    Then within 10 seconds the request "held" is being executed
    When the log goes down
    And instance 2 gets SIGTERM
    Then instance 2 exits with the code 0
    And the response "held" has the outcome "answered"

  @fresh_fleet
  Scenario: A drain that waits for a frozen instance is held and shown, not forced
    When a caller starts POST "/cutting/cuts" at instance 3 as "long"
      | Desk             | cutting |
      | Test-Delay-Ms    | 22000   |
      | Request-Deadline | in 28 s |
    Then within 10 seconds the request "long" is being executed
    When instance 3 is frozen
    And the planner asks for a reboot of the server that executes "long"
    And 19 seconds pass
    Then no planned stop of that server has started
    When instance 3 is resumed
    Then the response "long" has the outcome "answered"
    And within 30 seconds the status of instance 1 shows a drain that is held
    And within 60 seconds the planned stop of that server is over
    And the planned stop began after the end of every request
    And no backend server cut off a request
