@not_run
Feature: A request with the outcome "not-run" did not run

  Background:
    Given a fleet of 3 entry instances for Brazos
    And the sheets of the deployment are in force

  # Guards against a retry that runs the request after a refusal has been told.
  Scenario: A server that refuses before execution
    When all backend servers of "cutting" switch to "refuse"
    And callers start 20 times POST "/cutting/cuts" at instance 1 as "cut"
      | Desk             | cutting |
      | Request-Deadline | in 5 s  |
    Then every response "cut" has the outcome "not-run"
    And every request with the outcome "not-run" was not executed

  # Guards against a refusal by one server ending a request that another one can run.
  Scenario: Servers that refuse before execution while others work
    When the backend server "cutting-1" switches to "refuse"
    And the backend server "cutting-2" switches to "refuse"
    And callers start 30 times POST "/cutting/cuts" at instance 1 as "cut"
      | Desk | cutting |
    Then at least 15 responses "cut" have the outcome "answered"
    And every request with the outcome "not-run" was not executed
    And every request ran at most once

  # Guards against telling "not-run" because no answer came.
  Scenario: A server that executes and does not answer in time
    When callers start 12 times POST "/cutting/cuts" at instance 1 as "slow"
      | Desk             | cutting |
      | Test-Delay-Ms    | 1500    |
      | Request-Deadline | in 1 s  |
    Then no response "slow" has an answer
    And at least 1 responses "slow" have the outcome "unknown"
    And every request with the outcome "not-run" was not executed

  # Guards against reading a closed connection as proof that nothing ran.
  Scenario: Servers that close, cut their answer or stay silent
    When callers start 8 times POST "/cutting/cuts" at instance 1 as "close"
      | Desk      | cutting |
      | Test-Fail | close   |
    And callers start 8 times POST "/cutting/cuts" at instance 2 as "cut"
      | Desk      | cutting |
      | Test-Fail | cut     |
    And callers start 8 times POST "/cutting/cuts" at instance 3 as "silence"
      | Desk             | cutting |
      | Test-Fail        | silence |
      | Request-Deadline | in 2 s  |
    Then every response has an outcome and an id
    And no response "close" has an answer
    And no response "cut" has an answer
    And no response "silence" has an answer
    And every request with the outcome "not-run" was not executed
    And every request ran at most once

  # Guards against a queue that gives up a request which it has sent already.
  Scenario: More requests than the slots can run before their deadline
    When callers start 64 times POST "/cutting/cuts" at instance 1 as "burst"
      | Desk             | cutting |
      | Test-Delay-Ms    | 1000    |
      | Request-Deadline | in 2 s  |
    Then every response has an outcome and an id
    And at least 1 responses "burst" have the outcome "not-run"
    And at least 1 responses "burst" have the outcome "answered"
    And every request with the outcome "not-run" was not executed

  # Guards against work that is sent after its caller left the queue.
  Scenario: Callers that are gone while their work runs
    When a caller of POST "/cutting/cuts" at instance 1 leaves while "gone" runs
      | Desk          | cutting |
      | Test-Delay-Ms | 1500    |
    And callers start 20 times POST "/cutting/cuts" at instance 1 as "other"
      | Desk             | cutting |
      | Request-Deadline | in 5 s  |
    Then every response "other" has the outcome "answered"
    And every request with the outcome "not-run" was not executed
    And the request "gone" was executed exactly once

  # Guards against sending a keyed request although "not-run" was told for its claim.
  Scenario: A claim that the log confirms too late
    When the log answers 1500 ms late
    And a caller sends POST "/front-desk/orders/7/charge" to instance 1 as "order"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Request-Deadline | in 1 s     |
    And 4 seconds pass
    Then the response "order" has the outcome "not-run"
    And every request with the outcome "not-run" was not executed

  # Guards against queued work that is sent after a pause with an old view.
  Scenario: An instance that was frozen until the others ended its session
    When callers start 40 times POST "/cutting/cuts" at instance 1 as "paused"
      | Desk             | cutting |
      | Test-Delay-Ms    | 1500    |
      | Request-Deadline | in 25 s |
    Then within 10 seconds at least 16 requests "paused" are being executed
    When instance 1 is frozen
    And callers start 4 times POST "/cutting/cuts" at instance 1 as "during"
      | Desk             | cutting |
      | Request-Deadline | in 25 s |
    Then within 30 seconds "live_sessions" of the page "/-/status" of instance 2 is 2
    When instance 1 is resumed
    Then every response has an outcome and an id
    And every request with the outcome "not-run" was not executed
    And every request ran at most once

  # Guards against an instance that goes on alone while the others may end its session.
  Scenario: An instance that is cut off from the log
    When the log is cut off for instance 1
    And callers start 30 times POST "/cutting/cuts" at instance 1 as "cut off"
      | Desk          | cutting |
      | Test-Delay-Ms | 500     |
    Then every response has an outcome and an id
    And every request with the outcome "not-run" was not executed
    When the log is reachable again for instance 1
    Then within 30 seconds instance 1 answers POST "/cutting/cuts"

  # Guards against another instance telling "not-run" for work of the killed one.
  Scenario: An instance that is killed while its requests run
    When callers start 12 times POST "/cutting/cuts" at instance 1 as "lost"
      | Desk          | cutting |
      | Test-Delay-Ms | 1500    |
    Then within 10 seconds the request "lost 12" is being executed
    When instance 1 is killed
    Then no response "lost" has the outcome "not-run"
    And every request ran at most once
