@leaving
Feature: A leaving backend server gets no new work after a few seconds

  The bound is 5 s after the instance list shows the change; the list lags by 1 s.

  Background:
    Given a fleet of 3 entry instances for Brazos
    And the sheets of the deployment are in force
    And callers keep sending to "cutting sizing"
    And within 14 seconds "cutting-2" has executed requests of "cutting"
    And within 14 seconds "sizing-2" has executed requests of "sizing"

  Scenario: Every instance, even one cut off from the log, leaves out such a server
    When the log is cut off for instance 2
    And the platform marks "cutting-2" as leaving
    And "sizing-2" disappears from the list
    And 8 seconds pass
    And the callers stop
    Then the server "cutting-2" gets no new requests after the bound
    And the server "sizing-2" gets no new requests after the bound
    And the services "cutting sizing" got new requests after the bound
    And no backend server cut off a request

  Scenario: An outage of the log does not keep a leaving server in use
    When the log goes down
    And the platform marks "cutting-2" as leaving
    And "sizing-2" disappears from the list
    And 8 seconds pass
    And the callers stop
    Then the server "cutting-2" gets no new requests after the bound
    And the server "sizing-2" gets no new requests after the bound
    And the services "cutting sizing" got new requests after the bound

  Scenario: A list that goes down does not bring the server back
    When the platform marks "cutting-2" as leaving
    And 3 seconds pass
    And the instance list goes down
    And instance 3 is replaced
    And 5 seconds pass
    And the callers stop
    Then the server "cutting-2" gets no new requests after the bound
    And the services "cutting" got new requests after the bound

  Scenario: Instances that were frozen do not act on their old view
    When callers start 40 requests GET "/cutting/frozen" at instance 3 as "frozen"
      | Desk             | cutting |
      | Test-Delay-Ms    | 2000    |
      | Request-Deadline | in 29 s |
    Then within 5 seconds the request "frozen 1" is being executed
    When all instances are frozen
    And the platform marks "cutting-2" as leaving
    And 8 seconds pass
    And instance 3 is resumed
    And 2 seconds pass
    And instance 1 is resumed
    And instance 2 is resumed
    And 2 seconds pass
    And the callers stop
    Then the server "cutting-2" gets no new requests after the bound
    And the services "cutting" got new requests after the bound
    And every request with the outcome "not-run" was not executed
