Feature: The shares of the store's rates
  The store allows the whole fleet several hundred writes and two thousand reads a second,
  whatever its size; each router divides the rates by the number of routers that it sees.

  Scenario: platform rates: A router of a small fleet starts
    No call is refused.  The router takes 64 budget shards, with a read and two writes each, while
    it still assumes a full fleet.  If calls are refused, callers see "the store is out of reach".
    Given platform rates: 1 routers that have just started
    When platform rates: each requests 64 reads and 128 writes within 3 seconds
    Then platform rates: none of these calls was refused

  Scenario: platform rates: All routers of a full fleet write as fast as they can
    The store gets no more than the fleet's rate, even if all routers retry.
    Given platform rates: 410 routers that have seen each other for 60 seconds
    When platform rates: all of them write without pause for 60 seconds
    Then platform rates: the store saw 240 to 270 writes a second

  Scenario: platform rates: All routers of a fleet of four write as fast as they can
    Given platform rates: 4 routers that have seen each other for 60 seconds
    When platform rates: all of them write without pause for 60 seconds
    Then platform rates: the store saw 240 to 270 writes a second

  Scenario: platform rates: A full fleet is partitioned so that each router sees three
    The store gets no more calls than before.  Each router sees a fleet of three.  If the share
    followed this, 410 routers would make 62 writes a second each, just when all renew claims.
    Given platform rates: 410 routers that have seen each other for 60 seconds
    When platform rates: each sees only 3 of them for 240 seconds
    And platform rates: all of them write without pause for 30 seconds
    Then platform rates: the store saw 240 to 290 writes a second
    When platform rates: each sees only 3 of them for 100 seconds
    Then platform rates: each has the share of a fleet of 4

  Scenario: platform rates: All routers of a full fleet start at once and see no others yet
    The store gets the extra start calls, and beyond them the shares of a full fleet, not
    410 times the share of a single router.
    Given platform rates: 410 routers that have just started
    Then platform rates: each has the share of a fleet of 410
    When platform rates: each sees only 1 of them for 4 seconds
    Then platform rates: each has the share of a fleet of 410

  Scenario: platform rates: A sidecar calls the store in a fast loop
    Its calls wait: all that a sidecar needs is to read at its start and to extend a lease.
    Given platform rates: 1 sidecars that have just started
    When platform rates: all of them write without pause for 60 seconds
    Then platform rates: the store saw 0.4 to 0.8 writes a second

  Scenario: platform rates: Real routers start and discover each other
    No call is refused, and each router divides by the four that it sees.  The fleet has
    two data centres, and each router has its own rate limiter.
    Given platform rates: a fleet of 4 routers in virtual time
    When platform rates: the fleet starts and gets its declarations and a request at once
    Then platform rates: the request gets its response and no call was refused
    And platform rates: each of the fleet's routers divides by 4
