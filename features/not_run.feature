@not_run
Feature: A request with the outcome "not-run" did not run

  Background:
    Given a fleet of 3 entry instances for Brazos
    And the sheets of the deployment are in force

  # Guards against a retry that runs the request after its caller was told "not-run".
  Scenario: A server that refuses before execution
    When all backend servers of "cutting" switch to "refuse"
    And callers start 20 requests POST "/cutting/cuts" at instance 1 as "cut"
      | Desk             | cutting |
      | Request-Deadline | in 5 s  |
    Then every response "cut" has the outcome "not-run"
    And every request with the outcome "not-run" was not executed

  # Guards against one server's refusal ending a request that another server can run.
  Scenario: Servers that refuse before execution while others work
    When the backend server "cutting-1" switches to "refuse"
    And the backend server "cutting-2" switches to "refuse"
    And callers start 30 requests POST "/cutting/cuts" at instance 1 as "cut"
      | Desk | cutting |
    Then at least 15 responses "cut" have the outcome "answered"
    And every request with the outcome "not-run" was not executed
    And every request ran at most once

  # Guards against the outcome "not-run" for a request that only got no answer.
  Scenario: A server that executes and does not answer in time
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "slow"
      | Desk             | cutting |
      | Test-Delay-Ms    | 1500    |
      | Request-Deadline | in 1 s  |
    Then no request "slow" was answered
    And at least 1 responses "slow" have the outcome "unknown"
    And every request with the outcome "not-run" was not executed

  # Guards against treating a closed connection as proof that the request did not run.
  Scenario: Servers that close, cut their answer or stay silent
    When callers start 8 requests POST "/cutting/cuts" at instance 1 as "close"
      | Desk      | cutting |
      | Test-Fail | close   |
    And callers start 8 requests POST "/cutting/cuts" at instance 2 as "cut"
      | Desk      | cutting |
      | Test-Fail | cut     |
    And callers start 8 requests POST "/cutting/cuts" at instance 3 as "silence"
      | Desk             | cutting |
      | Test-Fail        | silence |
      | Request-Deadline | in 2 s  |
    Then every response has an outcome and an id
    And no request "close" was answered
    And no request "cut" was answered
    And no request "silence" was answered
    And every request with the outcome "not-run" was not executed
    And every request ran at most once

  # Guards against a queue that reports "not-run" for a request that it has already sent.
  Scenario: More requests than the slots can run before their deadline
    When callers start 64 requests POST "/cutting/cuts" at instance 1 as "burst"
      | Desk             | cutting |
      | Test-Delay-Ms    | 1000    |
      | Request-Deadline | in 2 s  |
    Then every response has an outcome and an id
    And at least 1 responses "burst" have the outcome "not-run"
    And at least 1 responses "burst" have the outcome "answered"
    And every request with the outcome "not-run" was not executed

  # Guards against requests that are sent after their callers have disconnected.
  Scenario: Callers that are gone while their work runs
    When a caller of POST "/cutting/cuts" at instance 1 disconnects while "gone" runs
      | Desk          | cutting |
      | Test-Delay-Ms | 1500    |
    And callers start 20 requests POST "/cutting/cuts" at instance 1 as "other"
      | Desk             | cutting |
      | Request-Deadline | in 5 s  |
    Then every response "other" has the outcome "answered"
    And every request with the outcome "not-run" was not executed
    And the request "gone" was executed exactly once

  # Guards against sending a keyed request whose caller was already told "not-run", once
  # its claim is confirmed.
  Scenario: A claim that the log confirms too late
    When the log answers 1500 ms late
    And a caller sends POST "/front-desk/orders/7/charge" to instance 1 as "order"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Request-Deadline | in 1 s     |
    And 4 seconds pass
    Then the response "order" has the outcome "not-run"
    And every request with the outcome "not-run" was not executed

  # Guards against queued requests that an instance sends after a pause, when its state is
  # out of date.
  Scenario: An instance that was frozen until the others ended its session
    When callers start 40 requests POST "/cutting/cuts" at instance 1 as "paused"
      | Desk             | cutting |
      | Test-Delay-Ms    | 1500    |
      | Request-Deadline | in 25 s |
    Then within 10 seconds at least 16 requests "paused" are being executed
    When instance 1 is frozen
    And callers start 4 requests POST "/cutting/cuts" at instance 1 as "during"
      | Desk             | cutting |
      | Request-Deadline | in 25 s |
    Then within 30 seconds "live_sessions" of the page "/-/status" of instance 2 is 2
    When instance 1 is resumed
    Then every response has an outcome and an id
    And every request with the outcome "not-run" was not executed
    And every request ran at most once

  # Guards against an instance that keeps dispatching while the others may have ended its
  # session.
  Scenario: An instance that is cut off from the log
    When the log is cut off for instance 1
    And callers start 30 requests POST "/cutting/cuts" at instance 1 as "cut off"
      | Desk          | cutting |
      | Test-Delay-Ms | 500     |
    Then every response has an outcome and an id
    And every request with the outcome "not-run" was not executed
    When the log is reachable again for instance 1
    Then within 30 seconds instance 1 answers POST "/cutting/cuts"

  # Guards against another instance reporting "not-run" for requests that the killed one
  # had sent.
  Scenario: An instance that is killed while its requests run
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "lost"
      | Desk          | cutting |
      | Test-Delay-Ms | 1500    |
    Then within 10 seconds the request "lost 12" is being executed
    When instance 1 is killed
    Then no response "lost" has the outcome "not-run"
    And every request ran at most once
