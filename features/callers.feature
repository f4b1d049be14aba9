Feature: Callers get true outcomes from any entry instance

  Background:
    Given a fleet of 3 entry instances for Brazos
    And the sheets of the deployment are in force

  Scenario: Many requests at once get their own answers
    When callers start 20 requests GET "/sizing/sizes/banner" at instance 1 as "one"
      | Desk          | sizing |
      | Test-Delay-Ms | 100    |
    And callers start 20 requests POST "/cutting/cuts" at instance 2 as "two"
      | Desk          | cutting |
      | Test-Delay-Ms | 100     |
    Then every response has an outcome and an id
    And every answered response is the whole answer to its own request
    And at least 20 responses "one" have the outcome "answered"
    And no backend server ran more requests than its slots

  Scenario: A repeated order charge runs once and gets the same answer
    When a caller sends POST "/front-desk/orders/41/charge" to instance 1 as "first"
      | Desk            | front-desk |
      | Idempotency-Key | new key    |
    And the caller repeats "first" at instance 2 as "repeat"
    Then the response "first" has the outcome "answered"
    And the responses "first" and "repeat" have the same body
    And the request "first" was executed exactly once

  Scenario: An order charge without a key does not run
    When a caller sends POST "/front-desk/orders/42/charge" to instance 3 as "order"
      | Desk | front-desk |
    Then the response "order" has the outcome "not-run"
    And the response "order" has the status 422
    And the request "order" was not executed

  Scenario: A backend server that executes and never answers leaves the outcome unknown
    When all backend servers of "cutting" switch to "silence"
    And a caller sends POST "/cutting/cuts" to instance 1 as "cut"
      | Desk             | cutting |
      | Request-Deadline | in 2 s  |
    Then the response "cut" has the outcome "unknown"
    And the request "cut" was executed exactly once

  Scenario: A cut answer is never passed on
    When a caller sends POST "/cutting/cuts" to instance 1 as "cut"
      | Desk      | cutting |
      | Test-Fail | cut     |
    Then the response "cut" has the outcome "unknown"
    And the response "cut" has the status 502

  Scenario: A killed instance does not stop the others
    When instance 1 is killed
    Then within 30 seconds instance 2 answers GET "/sizing/sizes/banner"
    And within 30 seconds instance 3 answers GET "/sizing/sizes/banner"

  Scenario: A frozen instance does not act on its old view
    When instance 1 is frozen
    And a caller starts POST "/cutting/cuts" at instance 1 as "late"
      | Desk | cutting |
    And 6 seconds pass
    Then "late" is still waiting
    When instance 1 is resumed
    Then the response "late" has the outcome "answered" or "not-run"
    And every request with the outcome "not-run" was not executed

  Scenario: While the log is down a keyed request does not run
    When the log goes down
    And a caller sends POST "/front-desk/orders/43/charge" to instance 2 as "order"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Request-Deadline | in 3 s     |
    Then the response "order" has the outcome "not-run"
    And the request "order" was not executed
    When the log comes back
    Then within 30 seconds instance 2 answers GET "/sizing/sizes/banner"
