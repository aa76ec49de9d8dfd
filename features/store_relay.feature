Feature: Store calls through other instances
  A router that the store does not answer has its calls made by an instance that the store answers.

  Scenario: Requests go on while every router is cut off from the store
    All routers lose the store for 9 seconds, though they reach the sidecars.  An account that
    had spent nothing for a while is used by one caller.  Had the routers lived on what they
    hold, the caller would have been refused with most of the total free.
    Given 4 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And router 0 spends 4000 tokens 10 times a second for 9 seconds
    Then no request was refused
    And at most 1000000 tokens are spent

  Scenario: Without sidecars the same cut refuses requests
    It shows that the scenario above is carried by the sidecars alone.
    Given 4 routers and 0 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And router 0 spends 4000 tokens 10 times a second for 9 seconds
    Then some requests were refused
    And at most 1000000 tokens are spent

  Scenario: A sidecar that is gone is passed over
    Its machine lost power: calls to it hang until their deadline.
    Given 2 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And sidecar 0 falls silent
    And the routers wait 3 seconds
    And router 0 spends 10000 tokens 10 times a second for 5 seconds
    Then no request was refused

  Scenario: A sidecar that stops is taken off the record
    Sidecars are replaced one after the other.  Had each stayed on record for as long as its entry
    lasts, 90 s, routers would ask it for all that time, and wait for an answer each time.
    Given 10 routers and 3 sidecars that share a total of 1000000 tokens
    When sidecar 0 stops
    And the routers wait 6 seconds
    Then each router knows 2 sidecars

  Scenario: A sidecar that is gone is asked less and less often
    Its machine is lost without a word, so that it stays on record.  Two of them are tried by two
    tasks of each router, now and after 3, 6, 12 and 12 seconds: 20 times, where it was 29.
    Given 10 routers and 2 sidecars that share a total of 1000000 tokens
    When both sidecars fall silent
    And the routers wait 40 seconds
    Then each router followed the store in vain at most 20 times

  Scenario: The store is asked directly as soon as it answers again
    Given 2 routers and 1 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And router 0 spends 10000 tokens 10 times a second for 3 seconds
    Then the sidecars made calls
    When the cut heals
    And the routers wait 2 seconds
    And router 0 spends 10000 tokens 10 times a second for 3 seconds
    Then the sidecars made no more calls
    And no request was refused

  Scenario: A store that is down is not asked by every way at every call
    The store is down for all.  Were each call tried by each way, an outage would cost
    several times the calls that the store counts on a good day.
    Given 2 routers and 4 sidecars that share a total of 1000000 tokens
    When the store goes down for everybody
    And the routers read a key 10 times a second for 8 seconds
    Then each read told that nothing was reached
    And the store was called at most 100 times

  Scenario: A write is not made twice
    The sidecar made the write and its answer was lost: the router is told that it can't know.
    Given 2 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    And the routers wait 6 seconds
    And the answers of the sidecars are lost
    Then a write through a sidecar is told as unsure, and the store has it once

  Scenario: Each call gives the same through a sidecar as directly
    Given 1 routers and 1 sidecars that share a total of 1000000 tokens
    Then every call of the store gives the same by both ways

  Scenario: A router that starts while it is cut off learns of the sidecars from another router
    Given 2 routers and 2 sidecars that share a total of 1000000 tokens
    When the routers are cut off from the store
    Then a router without the list is told it by another that has it
