Feature: When a router is ready
  `/readyz` tells the balancer when to send requests.  A router with a configuration and without
  the budgets of its shards refuses what a router beside it would answer.

  Scenario: daemon ready: A router starts again after a crash
    The caller who asks as soon as the router is ready has an answer.  It has the configuration
    at once, from the store or a peer; then it takes its shards from the router that had them
    meanwhile, and asks the fleet what was claimed under their passed epochs.  The store takes
    0.2 seconds over a call.
    Given daemon ready: a fleet of two routers under way
    When daemon ready: router "r1" crashes and is started again 20 seconds later
    Then daemon ready: "r1" says "budgets" and is ready once it holds and knows its shards
    And daemon ready: a request at the moment when it is ready has its answer

  Scenario: daemon ready: The store is down when a router starts
    The caller has an answer from the router 30 seconds after its start: it can't take shards, and
    claims at the router that holds them.  Were it never ready, a store outage and a restart
    of the routers would leave the balancer with none.
    Given daemon ready: a fleet of two routers under way
    When daemon ready: router "r1" crashes and is started again 2 seconds later without the store
    Then daemon ready: "r1" is ready 30 to 31 seconds after its start

  Scenario: daemon ready: A router that is ready has to take shards of another
    It stays ready: its other shards are as good as before, and a balancer that took it out would
    leave its load to the rest just when one router is lost.
    Given daemon ready: a fleet of two routers under way
    When daemon ready: router "r2" is killed
    Then daemon ready: "r1" is ready all the time while it takes its shards
