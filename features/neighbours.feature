Feature: What routers tell each other of the backend servers
  Each places its requests by what all of them have under way.

  Scenario: A large prompt is known to the other routers at once
    Two routers get large prompts at nearly the same time.  Had the second one heard of the
    first in the next talk, a quarter of a second later, it would have queued its own behind it.
    Given 3 routers and 0 sidecars that share a total of 1000000 tokens
    When router 0 sends a prompt of 12000 tokens
    And 0.05 seconds go by
    Then the other routers count 1 request and 12000 tokens to read there
    And the other routers know that its shared part lies there

  Scenario: A small prompt is known with the next talk
    Given 3 routers and 0 sidecars that share a total of 1000000 tokens
    When router 0 sends a prompt of 900 tokens
    And 0.35 seconds go by
    Then the other routers count 1 request and 900 tokens to read there
    And the other routers know that its shared part lies there

  Scenario: What a router has under way is forgotten when it falls silent
    Given 3 routers and 0 sidecars that share a total of 1000000 tokens
    When router 0 sends a prompt of 12000 tokens
    And 0.35 seconds go by
    And router 0 is cut off from the others
    And 3 seconds go by
    Then the other routers count 0 request and 0 tokens to read there

  Scenario: Many routers hear of each other by the board of a sidecar
    Each talking with each other, their calls would grow with the square of the fleet.
    Given 10 routers and 2 sidecars that share a total of 1000000 tokens
    When 3 seconds go by
    And router 0 sends a prompt of 900 tokens
    And 0.9 seconds go by
    Then the other routers count 1 request and 900 tokens to read there
    And the other routers know that its shared part lies there
    And the routers did not talk with each other in the last second

  Scenario: A board that is gone is replaced by the next one
    Given 10 routers and 2 sidecars that share a total of 1000000 tokens
    When 3 seconds go by
    And sidecar 0 falls silent
    And 3 seconds go by
    And router 0 sends a prompt of 900 tokens
    And 2 seconds go by
    Then the other routers count 1 request and 900 tokens to read there

  Scenario: A board that started anew tells what is left there from then on
    Given 10 routers and 1 sidecars that share a total of 1000000 tokens
    When 6 seconds go by
    And each sidecar is killed and starts anew
    And 3 seconds go by
    And router 0 sends a prompt of 900 tokens
    And 0.9 seconds go by
    Then the other routers count 1 request and 900 tokens to read there
