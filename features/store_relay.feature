Feature: Store calls through other instances
  If the store does not answer a router, an instance that it does answer makes the calls.

  Scenario: Requests are admitted while every router is cut off from the store
    All routers lose the store for 9 seconds, but can reach the sidecars.  One caller uses an
    account that has been idle for a while.  If the routers had only what they hold, the caller
    would be refused with most of the total free.
    Given 4 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And router 0 spends 4000 tokens 10 times a second for 9 seconds
    Then no request was refused
    And at most 1000000 tokens are spent

  Scenario: Without sidecars the same cut refuses requests
    This shows that only the sidecars make the scenario above work.
    Given 4 routers and 0 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And router 0 spends 4000 tokens 10 times a second for 9 seconds
    Then some requests were refused
    And at most 1000000 tokens are spent

  Scenario: A lost sidecar is avoided
    Its machine lost power: calls to it hang until their deadline.
    Given 2 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And sidecar 0 falls silent
    And the routers wait 3 seconds
    And router 0 spends 10000 tokens 10 times a second for 5 seconds
    Then no request was refused

  Scenario: A sidecar that stops removes its entry from the store
    Sidecars are replaced one after the other.  If each stayed on record until its entry expires,
    for 90 s, routers would call it during all that time, and wait for an answer each time.
    Given 10 routers and 3 sidecars that share a total of 1000000 tokens
    When sidecar 0 stops
    And the routers wait 6 seconds
    Then each router knows 2 sidecars

  Scenario: A lost sidecar is called less and less often
    Its machine is lost, so that it stays on record.  Two tasks of each router try two such sidecars,
    now and after 3, 6, 12 and 12 seconds: 20 times, compared to 29 before.
    Given 10 routers and 2 sidecars that share a total of 1000000 tokens
    When both sidecars stop answering
    And the routers wait 40 seconds
    Then each router polled a silent sidecar at most 20 times

  Scenario: The store is asked directly as soon as it answers again
    Given 2 routers and 1 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And router 0 spends 10000 tokens 10 times a second for 3 seconds
    Then the sidecars made calls
    When the connection is restored
    And the routers wait 2 seconds
    And router 0 spends 10000 tokens 10 times a second for 3 seconds
    Then the sidecars made no more calls
    And no request was refused

  Scenario: A store that is down is not tried by every path at every call
    The store is down for all.  If each call were tried by each path, an outage would cost several
    times as many calls as the store counts on a good day.
    Given 2 routers and 4 sidecars that share a total of 1000000 tokens
    When the store goes down for all
    And the routers read a key 10 times a second for 8 seconds
    Then each read failed because nothing was reached
    And the store was called at most 100 times

  Scenario: A write is not made twice
    The sidecar made the write and its answer was lost: the router gets an error that says so.
    Given 2 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And the routers wait 6 seconds
    And the answers of the sidecars are lost
    Then a write through a sidecar is reported as unconfirmed, and the store has it once

  Scenario: Each call gives the same result through a sidecar as directly
    Given 1 routers and 1 sidecars that share a total of 1000000 tokens
    Then every store call gives the same result directly and through a sidecar

  Scenario: A router that starts while it is cut off gets the list of sidecars from another router
    Given 2 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    Then a router without the list of sidecars gets it from another router
