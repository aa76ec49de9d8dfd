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
