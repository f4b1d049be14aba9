@own_answer
Feature: Every caller gets the whole answer to its own request

  Background:
    Given a fleet of 3 entry instances for Brazos
    And the sheets of the deployment are in force

  # Guards against matching answers to requests by order: the answers arrive in reverse.
  Scenario: Answers that come late and out of order reach their own callers
    When callers start 10 requests POST "/cutting/cuts" at instance 1 as "slow"
      | Desk          | cutting |
      | Test-Delay-Ms | 1200    |
    And callers start 10 requests POST "/cutting/cuts" at instance 1 as "middle"
      | Desk          | cutting |
      | Test-Delay-Ms | 600     |
    And callers start 10 requests POST "/cutting/cuts" at instance 2 as "fast"
      | Desk | cutting |
    Then at least 10 responses "slow" have the outcome "answered"
    And at least 10 responses "middle" have the outcome "answered"
    And at least 10 responses "fast" have the outcome "answered"
    And every answered response is the whole answer to its own request

  # Guards against taking the second answer for the answer to the next request, whether it
  # arrives with the first or after the connection is used again.
  Scenario: A backend server that answers twice never gives a caller another's answer
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "together"
      | Desk      | cutting |
      | Test-Fail | twice   |
    Then at least 12 responses "together" have the outcome "answered"
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "late"
      | Desk      | cutting    |
      | Test-Fail | twice-late |
    Then every response has an outcome and an id
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "next"
      | Desk | cutting |
    Then every response has an outcome and an id
    And every answered response is the whole answer to its own request

  # Guards against reusing a connection whose answers do not name their request.
  Scenario: A connection is not used again after an answer without a request id
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "unnamed"
      | Desk      | cutting            |
      | Test-Fail | twice-late-unnamed |
    Then at least 1 responses "unnamed" have the outcome "answered"
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "next"
      | Desk | cutting |
    Then at least 12 responses "next" have the outcome "answered"
    And every answered response is the whole answer to its own request

  # Guards against passing on an answer that a backend server gave to the wrong request.
  Scenario: An answer to another request is not passed on
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "own"
      | Desk | cutting |
    Then at least 12 responses "own" have the outcome "answered"
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "crossed"
      | Desk      | cutting |
      | Test-Fail | crossed |
    Then every response "crossed" has the outcome "unknown"
    And every answered response is the whole answer to its own request

  # Guards against passing on an incomplete answer as if it were complete.
  Scenario: An answer that is cut short or has no length is not passed on
    When a caller sends POST "/cutting/cuts" to instance 1 as "cut"
      | Desk      | cutting |
      | Test-Fail | cut     |
    And a caller sends POST "/cutting/cuts" to instance 1 as "no length"
      | Desk      | cutting   |
      | Test-Fail | no-length |
    Then the response "cut" has the outcome "unknown"
    And the response "no length" has the outcome "unknown"
    And the request "no length" was executed exactly once

  # Guards against circuits.web sending the answer of the first request to the second.
  Scenario: Pipelined requests are answered in order, each with its own answer
    When a caller sends pipelined requests to instance 1
      | name   | request                   | Desk    | Test-Delay-Ms | Test-Fail |
      | first  | GET /sizing/sizes/banner  | sizing  | 500           |           |
      | second | POST /cutting/cuts        | cutting | 100           | cut       |
      | third  | GET /sizing/sizes/pennant | sizing  |               |           |
      | fourth | POST /cutting/cuts        | cutting |               |           |
    Then the response "first" is the whole answer to its own request
    And the response "second" has the outcome "unknown"
    And the response "third" is the whole answer to its own request
    And the response "fourth" is the whole answer to its own request

  # Guards against taking the late answer of a timed-out request for the next answer, on the
  # connection of the caller or on that of the backend server.
  Scenario: After a timeout the next request gets its own answer
    When a caller sends requests in turn over one connection to instance 1
      | name   | request            | Desk    | Test-Delay-Ms | Request-Deadline |
      | late 1 | POST /cutting/cuts | cutting | 1800          | in 1 s           |
      | next 1 | POST /cutting/cuts | cutting | 900           |                  |
      | late 2 | POST /cutting/cuts | cutting | 1800          | in 1 s           |
      | next 2 | POST /cutting/cuts | cutting | 900           |                  |
    Then every response "late" has the outcome "unknown"
    And every response "next" has the outcome "answered"
    And every answered response is the whole answer to its own request

  # Guards against an answer to a disconnected caller that reaches the next one, and against
  # freeing the slot of a request that is still being executed.
  Scenario: The answer to a caller that left reaches no other
    When a caller of POST "/cutting/cuts" at instance 1 disconnects while "gone" runs
      | Desk          | cutting |
      | Test-Delay-Ms | 1000    |
    And callers start 40 requests POST "/cutting/cuts" at instance 1 as "other"
      | Desk          | cutting |
      | Test-Delay-Ms | 300     |
    Then at least 40 responses "other" have the outcome "answered"
    And every answered response is the whole answer to its own request
    And the request "gone" was executed exactly once
    And no backend server ran more requests than its slots

  # Guards against mixing up the answers that arrived while the instance was frozen.
  Scenario: A frozen instance gives each caller its own answer when it goes on
    When callers start 12 requests POST "/cutting/cuts" at instance 1 as "paused"
      | Desk          | cutting |
      | Test-Delay-Ms | 700     |
    Then within 10 seconds the request "paused 12" is being executed
    When instance 1 is frozen
    And callers start 6 requests POST "/cutting/cuts" at instance 1 as "during"
      | Desk | cutting |
    And 2 seconds pass
    And instance 1 is resumed
    Then every response has an outcome and an id
    And at least 12 responses "paused" have the outcome "answered"
    And every answered response is the whole answer to its own request

  # Guards against answers to requests of a killed instance that reach callers of another.
  Scenario: After an instance was killed the others give their callers their own answers
    When callers start 8 requests POST "/cutting/cuts" at instance 1 as "lost"
      | Desk          | cutting |
      | Test-Delay-Ms | 1000    |
    And callers start 8 requests POST "/cutting/cuts" at instance 2 as "kept"
      | Desk          | cutting |
      | Test-Delay-Ms | 1000    |
    Then within 10 seconds the request "lost 8" is being executed
    When instance 1 is killed
    Then at least 8 responses "kept" have the outcome "answered"
    And every answered response is the whole answer to its own request
    And no request "lost" was answered

  # Guards against keeping connections on which no data arrives any more. This scenario has
  # to stay the last one, since the other instances also keep silent connections.
  Scenario: Connections that went silent for good do not hold up new ones
    When callers start 16 requests POST "/cutting/cuts" at instance 1 as "before"
      | Desk          | cutting |
      | Test-Delay-Ms | 200     |
    Then at least 16 responses "before" have the outcome "answered"
    When the open connections of all backend servers of "cutting" go silent
    And callers start 8 requests POST "/cutting/cuts" at instance 1 as "silent"
      | Desk             | cutting |
      | Request-Deadline | in 2 s  |
    Then every response has an outcome and an id
    And within 60 seconds 16 of 16 new requests POST "/cutting/cuts" at instance 1 are answered
    And every answered response is the whole answer to its own request
