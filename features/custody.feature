Feature: Grants that sidecars own
  A sidecar holds what an account may need in an outage; a router holds only what it uses soon.

  Scenario: A router that is killed alone strands little
    All callers of an account use one router, which is killed early in the day.  A sidecar holds
    the headroom of the account, so that the callers can use it through the other routers.
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And router 0 is killed alone and starts anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 270000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: Without sidecars one of the routers owns the grants of an account
    Given 4 routers and 0 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And the router that owns the account is killed and starts anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 200000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: A sidecar that is killed alone strands nothing
    The sidecar that owns the account loses power, with a fifth of the total as headroom.  The next
    incarnation at its address asks the routers on record what they hold of it; the rest is free.
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And each sidecar is killed and starts anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 290000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: A sidecar that is killed with a router strands its headroom
    The router that drew from it can no longer report what it spent: the whole grant of the sidecar
    counts as spent, although part of it was not.
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And each sidecar is killed and starts anew, and router 0 with them
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 200000 tokens are spent
    And at most 270000 tokens are spent

  Scenario: A sidecar that is killed with one of many routers strands little
    The router that is killed can no longer report what it drew.  The whole grant of the sidecar
    counted as spent for the rest of the day, 41% of a total.
    Given 8 routers and 2 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And each sidecar is killed and starts anew, and router 0 with them
    And all routers spend 1000 tokens in turn, 20 times a second for 30 seconds
    Then all but a quarter of the headroom at the kill is spent
    And at most 300000 tokens are spent

  Scenario: A sidecar that is killed, and a router soon after, strand little
    The routers avoided the sidecar for two seconds, and called it again seconds later: those that
    were killed meanwhile had not reported what they held of its previous incarnation.
    Given 21 routers and 2 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And the sidecar that owns the account is down for 1 second, and starts anew
    And all routers spend 1000 tokens in turn, 20 times a second for 1 seconds
    And router 0 is killed alone and starts anew
    And all routers spend 1000 tokens in turn, 20 times a second for 30 seconds
    Then all but a quarter of the headroom at the kill is spent
    And at most 300000 tokens are spent

  Scenario: A router that did not notice the kill of a sidecar reports to its next incarnation at once
    It did not call while the sidecar was down, and it has no reason to call before it is killed.
    Given 21 routers and 2 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And the sidecar that owns the account is down for 1 second while router 0 is idle, and starts anew
    And 0.5 seconds pass for all
    And router 0 is killed alone and starts anew
    And all routers spend 1000 tokens in turn, 20 times a second for 30 seconds
    Then all but a quarter of the headroom at the kill is spent
    And at most 300000 tokens are spent

  Scenario: Allocators that start after all were killed stop asking
    No router on record is left to answer; each allocator read the list of routers three times per
    second.
    Given 21 routers and 4 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And all routers and sidecars are killed and start anew
    And 20 seconds pass for all
    Then the routers were listed at most 20 times to ask for claims

  Scenario: An outage causes no refusals for an account with steady use
    The store is down for all for 8 seconds.  The caller's router draws on the headroom that the
    sidecar holds.
    Given 4 routers and 2 sidecars that share a total of 1000000 tokens
    When router 0 spends 2000 tokens 10 times a second for 10 seconds
    And the store goes down for all
    And router 0 spends 2000 tokens 10 times a second for 8 seconds
    Then no request was refused

  Scenario: A substitute allocator does not count the headroom of the owner as spent
    The router can't reach the sidecar that owns the account, and asks the other.  Nearly all of
    the total is granted to the first; if the answer were that the total is used up, the caller
    would not retry.
    Given 1 routers and 2 sidecars that share a total of 30000 tokens
    When router 0 spends 1000 tokens 4 times a second for 3 seconds
    And the sidecar that owns the account stops answering
    Then a request for 18000 tokens is refused as retryable
    And a request for 40000 tokens is refused as budget_exhausted

  Scenario: A sidecar that stops returns its headroom
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And each sidecar stops gracefully
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 290000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: A router that stops gives back what it drew
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And each router stops gracefully and starts anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 285000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: Kills, outages and lost answers never overspend the total
    Routers and sidecars are killed repeatedly during work, the store is unavailable at times, and
    answers of sidecars are lost.  If tokens were counted twice, the caller's account would be
    overdrawn.
    Given 4 routers and 3 sidecars that share a total of 400000 tokens
    When the routers spend at random for 60 seconds, with kills, outages and lost answers
    Then at most 400000 tokens are spent
    And the store, the routers and the sidecars never had more than 400000 tokens
