Feature: Grants that sidecars keep
  What an account may need in an outage is kept by a sidecar; a router holds what it uses soon.

  Scenario: A router that is killed alone strands little
    All callers of an account meet one router, which is killed early in the day.  What was held
    ahead for the account lies with a sidecar: the caller finds it at the other routers.
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And router 0 is killed alone and starts anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 270000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: Without sidecars one of the routers keeps what all need
    Given 4 routers and 0 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And the router that keeps the account is killed and starts anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 200000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: A sidecar that is killed alone strands nothing
    The sidecar that keeps the account loses power, with a fifth of the total ahead.  The next
    life at its address asks the routers on record what they hold of it; the rest is free.
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And each sidecar is killed and starts anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 290000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: A sidecar that is killed with a router strands what it kept ahead
    The router that drew from it can't tell any more what it spent: all that the sidecar had been
    granted counts as spent, although some of it was not.
    Given 4 routers and 2 sidecars that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And each sidecar is killed and starts anew, and router 0 with them
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 200000 tokens are spent
    And at most 270000 tokens are spent

  Scenario: A sidecar that is killed with one of many routers strands little
    The router that is killed can't tell any more what it drew.  All that the sidecar had been
    granted counted as spent for the rest of the day, 41 in 100 of a total.
    Given 8 routers and 2 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And each sidecar is killed and starts anew, and router 0 with them
    And all routers spend 1000 tokens in turn, 20 times a second for 30 seconds
    Then all but a quarter of what lay ahead at the kill is spent
    And at most 300000 tokens are spent

  Scenario: A sidecar that is killed, and a router soon after, strand little
    The routers passed the sidecar over for two seconds, and looked at it again seconds later: those
    that were killed meanwhile had not told what they held of its life before.
    Given 21 routers and 2 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And the sidecar that keeps the account is away for 1 second, and starts anew
    And all routers spend 1000 tokens in turn, 20 times a second for 1 seconds
    And router 0 is killed alone and starts anew
    And all routers spend 1000 tokens in turn, 20 times a second for 30 seconds
    Then all but a quarter of what lay ahead at the kill is spent
    And at most 300000 tokens are spent

  Scenario: A router that did not meet the silence of a killed sidecar tells its next life at once
    It had not called while the sidecar was away, and it has no reason to call before it is killed.
    Given 21 routers and 2 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And the sidecar that keeps the account is away for 1 second while router 0 is idle, and starts anew
    And 0.5 seconds go by for all
    And router 0 is killed alone and starts anew
    And all routers spend 1000 tokens in turn, 20 times a second for 30 seconds
    Then all but a quarter of what lay ahead at the kill is spent
    And at most 300000 tokens are spent

  Scenario: Keepers that start when all were killed do not ask on and on
    No router on record is left to tell; each keeper read the list of routers three times a second.
    Given 21 routers and 4 sidecars that share a total of 300000 tokens
    When all routers spend 1000 tokens in turn, 20 times a second for 4 seconds
    And all routers and sidecars are killed and start anew
    And 20 seconds go by for all
    Then the routers were listed at most 20 times to ask them

  Scenario: An outage refuses nobody whose use stays the same
    The store is down for all for 8 seconds.  The caller's router asks the sidecar for what it
    left there.
    Given 4 routers and 2 sidecars that share a total of 1000000 tokens
    When router 0 spends 2000 tokens 10 times a second for 10 seconds
    And the store goes down for everybody
    And router 0 spends 2000 tokens 10 times a second for 8 seconds
    Then no request was refused

  Scenario: A keeper that stands in does not take for spent what the first one holds ahead
    The router can't reach the sidecar that keeps the account, and asks the other.  Nearly all of
    the total is granted to the first; told that it is used up, the caller would not come back.
    Given 1 routers and 2 sidecars that share a total of 30000 tokens
    When router 0 spends 1000 tokens 4 times a second for 3 seconds
    And the sidecar that keeps the account falls silent
    Then a request for 18000 tokens is told to come back
    And a request for 40000 tokens is refused as budget_exhausted

  Scenario: A sidecar that stops returns what lies there
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

  Scenario: Nothing is spent beyond the total, whoever is killed and whatever is lost
    Routers and sidecars are killed again and again in the midst of work, the store is away
    around it, and answers of sidecars are lost.  A deposit that was counted twice would
    overdraw the caller's account.
    Given 4 routers and 3 sidecars that share a total of 400000 tokens
    When the routers spend at random for 60 seconds, with kills, outages and lost answers
    Then at most 400000 tokens are spent
    And the store, the routers and the sidecars never had more than 400000 tokens
