@at_most_once
Feature: A request with an idempotency key runs at most once

  Background:
    Given a fleet of 3 entry instances for Brazos
    And the sheets of the deployment are in force

  # Guards against an answer that only the instance that dispatched the request knows.
  Scenario: A repeat after the first gets the first's answer from every instance
    When a caller sends POST "/front-desk/orders/1/charge" to instance 1 as "first"
      | Desk            | front-desk |
      | Idempotency-Key | new key    |
    And the caller repeats "first" at instance 1 as "same"
    And the caller repeats "first" at instance 2 as "other"
    And instance 1 is killed
    And the caller repeats "first" at instance 3 as "killed"
    And instance 1 is started again
    And the caller repeats "first" at instance 1 as "restarted"
    Then the response "first" has the outcome "answered"
    And the response "restarted" has the outcome "answered"
    And the response "killed" has the outcome "answered"
    And the response "other" has the outcome "answered"
    And the response "same" has the outcome "answered"
    And all answers to a key are the same
    And every key ran exactly once

  # Guards against a repeat that runs because the first request has no answer yet.
  Scenario: Repeats during the first wait for its answer
    When a caller starts POST "/front-desk/orders/2/charge" at instance 1 as "first"
      | Desk            | front-desk |
      | Idempotency-Key | new key    |
      | Test-Delay-Ms   | 2000       |
    Then within 10 seconds the request "first" is being executed
    When the caller starts to repeat "first" at instance 1 as "same"
    And the caller starts to repeat "first" at instance 2 as "other"
    And the caller starts to repeat "first" at instance 3 as "third"
    Then the response "first" has the outcome "answered"
    And the response "same" has the outcome "answered"
    And the response "other" has the outcome "answered"
    And the response "third" has the outcome "answered"
    And all answers to a key are the same
    And every key ran exactly once

  # Guards against two claims of a key that both count as accepted. With the slow log all
  # instances append their claim before any of them has read one back.
  Scenario: Instances that race for the same keys
    When the log answers 200 ms late
    And callers send 12 keys of POST "/front-desk/orders/3/charge" to all instances at once as "race"
    Then every response "race" has the outcome "answered"
    And all answers to a key are the same
    And every key ran exactly once

  # Guards against a claim that comes into force after its instance was killed.
  Scenario: The first instance is killed before its claim
    When the log is cut off for instance 1
    And a caller starts POST "/front-desk/orders/4/charge" at instance 1 as "first"
      | Desk            | front-desk |
      | Idempotency-Key | new key    |
    And 1 seconds pass
    And instance 1 is killed
    And the caller repeats "first" at instance 2 as "repeat"
    Then the response "repeat" has the outcome "answered"
    And all answers to a key are the same
    And every key ran exactly once

  # Guards against a claim that is lost with its instance. The backend servers are down,
  # so that the claim is in force but its request is not dispatched.
  Scenario: The first instance is killed after its claim
    When all backend servers of "front-desk" fail for 3 s
    And a caller starts POST "/front-desk/orders/5/charge" at instance 1 as "first"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Request-Deadline | in 25 s    |
    Then within 10 seconds the key of "first" is claimed in the log
    When instance 1 is killed
    And the caller repeats "first" at instance 2 as "repeat"
      | Request-Deadline | in 20 s |
    Then the response "repeat" has the outcome "unknown"
    And every key ran at most once
    And no key without an execution was answered

  # Guards against a repeat that runs while a backend server still executes the request
  # that the killed instance dispatched.
  Scenario: The first instance is killed after dispatch
    When a caller starts POST "/front-desk/orders/6/charge" at instance 1 as "first"
      | Desk            | front-desk |
      | Idempotency-Key | new key    |
      | Test-Delay-Ms   | 3000       |
    Then within 10 seconds the request "first" is being executed
    When instance 1 is killed
    And the caller repeats "first" at instance 2 as "repeat"
      | Request-Deadline | in 20 s |
    And the caller repeats "first" at instance 3 as "again"
    Then the response "repeat" has the outcome "unknown"
    And the response "again" has the outcome "unknown"
    And every key ran exactly once

  # Guards against treating a missing answer as proof that the request did not run.
  Scenario: The first instance is killed before its answer is in the log
    When a caller starts POST "/front-desk/orders/7/charge" at instance 1 as "first"
      | Desk            | front-desk |
      | Idempotency-Key | new key    |
      | Test-Delay-Ms   | 1000       |
    Then within 10 seconds the request "first" is being executed
    When the log is cut off for instance 1
    Then within 10 seconds the request "first" has ended
    When instance 1 is killed
    And the caller repeats "first" at instance 2 as "repeat"
      | Request-Deadline | in 20 s |
    Then the response "repeat" has the outcome "unknown"
    And every key ran exactly once

  # Guards against a claim that is withdrawn although its request may have run.
  Scenario: The first request's answer comes too late
    When a caller sends POST "/front-desk/orders/17/charge" to instance 1 as "first"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Test-Delay-Ms    | 2000       |
      | Request-Deadline | in 1 s     |
    And the caller repeats "first" at instance 1 as "same"
      | Request-Deadline | in 2 s |
    And the caller repeats "first" at instance 2 as "other"
      | Request-Deadline | in 2 s |
    Then the response "first" has the outcome "unknown"
    And the response "same" has the outcome "unknown"
    And the response "other" has the outcome "unknown"
    And every key ran exactly once

  # Guards against an append that is repeated and counts as a second claim.
  Scenario: The log loses its answers after the appends took effect
    When the log loses the answers to all appends of instance 1
    And callers send 8 keys of POST "/front-desk/orders/8/charge" to all instances at once as "lost"
    Then every response "lost" has the outcome "answered"
    And the log has lost at least 1 answers
    And all answers to a key are the same
    And every key ran exactly once

  # Guards against a request that runs without a claim, and against a refused request whose
  # key cannot be used again.
  Scenario: The log is down
    When the log goes down
    And a caller sends POST "/front-desk/orders/9/charge" to instance 1 as "first"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Request-Deadline | in 2 s     |
    Then the response "first" has the outcome "not-run"
    And the request "first" was not executed
    When the log comes back
    Then within 30 seconds instance 2 answers GET "/front-desk/ready"
    When the caller repeats "first" at instance 2 as "repeat"
      | Request-Deadline | in 15 s |
    Then the response "repeat" has the outcome "answered"
    And every key ran exactly once

  # Guards against a request that runs again because its key has expired, and against a
  # key that would expire too late.
  Scenario: Keys that are too old or in the future are refused
    When a caller sends POST "/front-desk/orders/10/charge" to instance 1 as "old"
      | Desk            | front-desk           |
      | Idempotency-Key | key from 86410 s ago |
    And a caller sends POST "/front-desk/orders/11/charge" to instance 2 as "future"
      | Desk            | front-desk          |
      | Idempotency-Key | key from -310 s ago |
    Then the response "old" has the outcome "not-run"
    And the response "future" has the outcome "not-run"
    And the request "old" was not executed
    And the request "future" was not executed

  # Guards against returning the answer of one request to another that reuses its key.
  Scenario: A key that was used for a different request is refused
    When a caller sends POST "/front-desk/orders/12/charge" to instance 1 as "first"
      | Desk            | front-desk |
      | Idempotency-Key | new key    |
    And a caller sends POST "/front-desk/orders/13/charge" to instance 2 as "second"
      | Desk            | front-desk   |
      | Idempotency-Key | key of first |
    Then the response "first" has the outcome "answered"
    And the response "second" has the outcome "not-run"
    And the response "second" has the status 422
    And every key ran exactly once

  # Guards against a claim that stays in force although its request surely did not run.
  Scenario: A claim is withdrawn when the backend servers refused before execution
    When all backend servers of "front-desk" switch to "refuse"
    And a caller sends POST "/front-desk/orders/14/charge" to instance 1 as "first"
      | Desk             | front-desk |
      | Idempotency-Key  | new key    |
      | Request-Deadline | in 3 s     |
    Then the response "first" has the outcome "not-run"
    And within 10 seconds the key of "first" is released in the log
    When all backend servers of "front-desk" switch to "up"
    And the caller repeats "first" at instance 2 as "repeat"
      | Request-Deadline | in 15 s |
    Then the response "repeat" has the outcome "answered"
    And every key ran exactly once

  # Guards against a frozen instance that dispatches a request after its claim was given
  # up. It uses rush-desk, since the scenarios above use up the retry budget of front-desk;
  # without retries the first request would end as not-run when a backend server cannot be
  # reached.
  Scenario: The first instance is frozen after its claim and resumed after its session
    When all backend servers of "rush-desk" fail for 3 s
    And a caller starts POST "/rush-desk/orders/15/charge" at instance 1 as "first"
      | Desk             | rush-desk  |
      | Idempotency-Key  | new key    |
      | Request-Deadline | in 29 s    |
    Then within 10 seconds the key of "first" is claimed in the log
    When instance 1 is frozen
    And the caller repeats "first" at instance 2 as "repeat"
      | Request-Deadline | in 20 s |
    Then the response "repeat" has the outcome "unknown"
    When instance 1 is resumed
    Then the response "first" has the outcome "not-run" or "unknown"
    And within 30 seconds instance 1 answers GET "/rush-desk/ready"
    And the request "first" was not executed

  # Guards against faults that show only when a kill, lost answers and concurrent claims
  # coincide.
  Scenario: An instance is killed while all race for many keys
    When the log loses the answers to the next 6 appends
    And callers send 16 keys of POST "/front-desk/orders/16/charge" to all instances at once as "race"
      | Test-Delay-Ms | 500 |
    And instance 1 is killed
    Then every key ran at most once
    And all answers to a key are the same
    And no key without an execution was answered
