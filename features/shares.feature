Feature: Prepaid totals that several routers share
  Each router spends only from what the store has on record for it.

  Scenario: Kills, outages and lost answers never overspend the total
    All routers are killed repeatedly during work, the store is unavailable at times, and answers
    to writes are lost.  What a killed router was granted counts as spent: if the next routers
    treated it as free, the caller's account would be overdrawn.
    Given 4 routers that share a total of 200000 tokens
    When they spend at random for 40 seconds, with kills, outages and lost answers
    Then at most 200000 tokens are spent
    And the store never had more than 200000 tokens granted

  Scenario: An outage causes no refusals for an account with steady use
    All routers lose the store for 8 seconds.  Each caller uses one router, which needs enough
    headroom by then; when routers had equal shares, the busy router ran out.
    Given 4 routers that share a total of 1000000 tokens
    When router 0 spends 2000 tokens 10 times a second for 10 seconds
    And the store is unavailable
    And router 0 spends 2000 tokens 10 times a second for 8 seconds
    Then no request was refused

  Scenario: A router that runs out during an outage gets what others hold
    Given 4 routers that share a total of 1000000 tokens
    When router 1 spends 2000 tokens 10 times a second for 10 seconds
    And the store is unavailable
    And router 0 spends 2000 tokens 10 times a second for 5 seconds
    Then no request was refused
    And at most 1000000 tokens are spent

  Scenario: The last tokens of a total can be used
    One caller uses a whole total through one router, while other routers hold headroom for it.
    Given 4 routers that share a total of 100000 tokens
    When router 0 spends 1000 tokens 5 times a second for 24 seconds
    Then at least 97000 tokens are spent
    And at most 100000 tokens are spent

  Scenario: A raised total can be used at once
    Given 2 routers that share a total of 10000 tokens
    When router 0 spends 1000 tokens 5 times a second for 4 seconds
    And the total is raised to 20000 tokens
    And router 0 spends 1000 tokens 5 times a second for 1 seconds
    Then at least 14000 tokens are spent

  Scenario: Kills strand a bounded part of the total
    All routers are killed once, after 10 seconds of steady use of a thirtieth of the total per
    second.  Their callers retry and use the rest.
    Given 4 routers that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 10 seconds
    And all routers are killed and start anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 180000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: A graceful stop strands nothing
    All routers are stopped in turn, as for a release, several times.  Each gives back its
    headroom, so that the callers can use the whole total through the next routers.
    Given 4 routers that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And all routers stop gracefully 4 times and start anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 290000 tokens are spent

  Scenario: A router that stops gives back tokens before its last requests end
    A router stops gracefully with long requests in flight.  If it gave back its headroom only at
    the very end, and the store were slow or unavailable then, the headroom would be lost for good.
    Given 2 routers that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 3 seconds
    And a request of 20000 tokens stays open at router 0
    And router 0 begins to stop
    Then router 0 is granted what it uses and 0 tokens more
    When the open request ends after 5000 tokens
    And 1 seconds pass at the routers
    Then router 0 is granted what it uses and 0 tokens more

  Scenario: Steady use needs few writes
    Given 4 routers that share a total of 1000000 tokens
    When router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then the store has seen at most 30 writes

  Scenario: A request larger than the total is refused at once
    Given 2 routers that share a total of 10000 tokens
    When router 0 spends 20000 tokens 1 times a second for 1 seconds
    Then the last request was refused as budget_exhausted

  Scenario: Requests do not wait for tokens of killed routers
    All routers are killed early in the day.  Later the rest of the total is used up, except for
    what the killed routers had been granted.  The request is refused for good at once: a retry
    would be in vain.
    Given 2 routers that share a total of 100000 tokens
    When router 0 spends 1000 tokens 10 times a second for 2 seconds
    And all routers are killed and start anew
    And router 0 spends 1000 tokens 10 times a second for 10 seconds
    Then at most 97000 tokens are spent
    And a request for 3000 tokens is refused as budget_exhausted

  Scenario: Requests that arrive together are granted by one write
    A burst of requests of one account reaches a router that holds little for it.  If each request
    wrote the record by itself, the last ones would wait for all others, and be refused with most
    of the total free.
    Given 2 routers that share a total of 1000000 tokens
    When 60 requests of 12000 tokens arrive together at router 0
    Then all of them are admitted
    And they took at most 2 writes

  Scenario: A grant whose answer was lost is used by the next try
    The store made the write, its answer was lost, and the caller retries the same request.  The
    grant that the router wants is now on record; the router has to write once more all the same,
    because one of its earlier writes that is still in flight could shrink the grant later.
    Given 1 routers that share a total of 1000000 tokens
    When the store loses the answers to 9 writes
    And a request of 400000 tokens is refused at router 0
    And the store loses the answers to 0 writes
    Then a request of 400000 tokens is admitted at router 0
