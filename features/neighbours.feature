Feature: Loads that routers report to each other
  Each router places its requests by the requests that all of them have in flight.

  Scenario: A large prompt is reported to the other routers at once
    Two routers get large prompts at nearly the same time.  If the second one learned of the first
    only with the next report, a quarter of a second later, it would queue its own behind it.
    Given 3 routers and 0 sidecars that share a total of 1000000 tokens
    When router 0 sends a prompt of 12000 tokens
    And 0.05 seconds go by
    Then the other routers count 1 request and 12000 tokens to read there
    And the other routers know that its shared part is cached there

  Scenario: A small prompt is reported with the next exchange
    Given 3 routers and 0 sidecars that share a total of 1000000 tokens
    When router 0 sends a prompt of 900 tokens
    And 0.35 seconds go by
    Then the other routers count 1 request and 900 tokens to read there
    And the other routers know that its shared part is cached there

  Scenario: The load that a router reported expires when it stops reporting
    Given 3 routers and 0 sidecars that share a total of 1000000 tokens
    When router 0 sends a prompt of 12000 tokens
    And 0.35 seconds go by
    And router 0 is cut off from the others
    And 3 seconds go by
    Then the other routers count 0 request and 0 tokens to read there

  Scenario: Many routers exchange reports through the aggregator of a sidecar
    If each called every other, the number of calls would grow with the square of the fleet.
    Given 10 routers and 2 sidecars that share a total of 1000000 tokens
    When 3 seconds go by
    And router 0 sends a prompt of 900 tokens
    And 0.9 seconds go by
    Then the other routers count 1 request and 900 tokens to read there
    And the other routers know that its shared part is cached there
    And the routers did not call each other in the last second

  Scenario: An aggregator that is gone is replaced by the next one
    Given 10 routers and 2 sidecars that share a total of 1000000 tokens
    When 3 seconds go by
    And sidecar 0 falls silent
    And 3 seconds go by
    And router 0 sends a prompt of 900 tokens
    And 2 seconds go by
    Then the other routers count 1 request and 900 tokens to read there

  Scenario: An aggregator that restarted hands out the reports that it gets from then on
    Given 10 routers and 1 sidecars that share a total of 1000000 tokens
    When 6 seconds go by
    And each sidecar is killed and starts anew
    And 3 seconds go by
    And router 0 sends a prompt of 900 tokens
    And 0.9 seconds go by
    Then the other routers count 1 request and 900 tokens to read there
