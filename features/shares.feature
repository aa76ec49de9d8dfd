Feature: Shares of prepaid totals
  Each router spends within what the store has on record for it, and nothing else.

  Scenario: Nothing is spent beyond the total, whoever is killed and whatever is lost
    All routers are killed again and again in the midst of work, the store is away around it, and
    answers to writes are lost.  What a dead router was granted counts as spent: had the
    next ones taken it for free, the caller's account would be overdrawn.
    Given 4 routers that share a total of 200000 tokens
    When they spend at random for 40 seconds, with kills, outages and lost answers
    Then at most 200000 tokens are spent
    And the store never had more than 200000 tokens granted

  Scenario: An outage refuses nobody whose use stays the same
    All routers lose the store for 8 seconds.  Each caller meets one router, which has to have
    enough ahead by then; with a share that was even, the busy router ran dry.
    Given 4 routers that share a total of 1000000 tokens
    When router 0 spends 2000 tokens 10 times a second for 10 seconds
    And the store is away
    And router 0 spends 2000 tokens 10 times a second for 8 seconds
    Then no request was refused

  Scenario: A router that ran dry in an outage gets what others hold
    Given 4 routers that share a total of 1000000 tokens
    When router 1 spends 2000 tokens 10 times a second for 10 seconds
    And the store is away
    And router 0 spends 2000 tokens 10 times a second for 5 seconds
    Then no request was refused
    And at most 1000000 tokens are spent

  Scenario: The last tokens are reachable
    One caller uses a whole total through one router, while others hold headroom for it.
    Given 4 routers that share a total of 100000 tokens
    When router 0 spends 1000 tokens 5 times a second for 24 seconds
    Then at least 97000 tokens are spent
    And at most 100000 tokens are spent

  Scenario: A raised total is used at once
    Given 2 routers that share a total of 10000 tokens
    When router 0 spends 1000 tokens 5 times a second for 4 seconds
    And the total is raised to 20000 tokens
    And router 0 spends 1000 tokens 5 times a second for 1 seconds
    Then at least 14000 tokens are spent

  Scenario: Kills strand a bounded part
    All routers are killed once, 10 seconds into steady use of a thirtieth of the total a
    second.  Their callers come back and use the rest.
    Given 4 routers that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 10 seconds
    And all routers are killed and start anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 180000 tokens are spent
    And at most 300000 tokens are spent

  Scenario: A graceful stop strands nothing
    All routers are stopped in turn, as for a release, again and again.  Each gives back its
    headroom; their callers find the whole total at the next ones.
    Given 4 routers that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 5 seconds
    And all routers stop gracefully 4 times and start anew
    And router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then at least 290000 tokens are spent

  Scenario: A router that leaves gives back before its last requests end
    A router stops gracefully with long requests in flight.  Had it given back at the very end
    alone, a store that was slow or away by then would have left its headroom granted for good.
    Given 2 routers that share a total of 300000 tokens
    When router 0 spends 1000 tokens 10 times a second for 3 seconds
    And a request of 20000 tokens stays open at router 0
    And router 0 begins to leave
    Then router 0 is granted what it uses and 0 tokens more
    When the open request ends after 5000 tokens
    And 1 seconds go by at the routers
    Then router 0 is granted what it uses and 0 tokens more

  Scenario: Few writes
    Given 4 routers that share a total of 1000000 tokens
    When router 0 spends 1000 tokens 10 times a second for 30 seconds
    Then the store has seen at most 30 writes

  Scenario: A request that does not fit gets an answer at once
    Given 2 routers that share a total of 10000 tokens
    When router 0 spends 20000 tokens 1 times a second for 1 seconds
    Then the last request was refused as budget_exhausted

  Scenario: What dead routers held is not waited for
    All routers are killed early in the day.  Late in it the rest of the total is used up, but
    for what the dead ones had been granted.  The caller is told so at once: sent away to come
    back, it would come in vain.
    Given 2 routers that share a total of 100000 tokens
    When router 0 spends 1000 tokens 10 times a second for 2 seconds
    And all routers are killed and start anew
    And router 0 spends 1000 tokens 10 times a second for 10 seconds
    Then at most 97000 tokens are spent
    And a request for 3000 tokens is refused as budget_exhausted

  Scenario: Requests that arrive together are granted by one write
    A burst of requests of one account comes to a router that holds little for it.  Had each
    written the record for itself, the last ones would have waited for all others, and been
    refused with most of the total free.
    Given 2 routers that share a total of 1000000 tokens
    When 60 requests of 12000 tokens arrive together at router 0
    Then all of them are admitted
    And they took at most 2 writes

  Scenario: A grant whose answer was lost is used by the next try
    The store made the write, its answer was lost, and the caller comes back with the same
    request.  What the router wants is on record by now; it has to write once more all the
    same, since a write of its own that is still under way could shrink the grant later.
    Given 1 routers that share a total of 1000000 tokens
    When the store loses the answers to 9 writes
    And a request of 400000 tokens is refused at router 0
    And the store loses the answers to 0 writes
    Then a request of 400000 tokens is admitted at router 0
