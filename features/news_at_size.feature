Feature: Updates on servers and requests among many routers
  What one router learns from a response or a broken run reaches all others, in large fleets too.

  Scenario Outline: All routers learn of it in time
    A server that announces in a response that it leaves may get no more requests after 2 s; a
    request that crashes servers may reach none after 3 s.  In a fleet of 300 routers, each polled
    the aggregator every 7.5 s, and learned of an update after up to twice that.
    Given <routers> routers that report to the aggregator of a sidecar
    When one of them learns of a server that leaves, 10 times
    Then all have learned of it within <within> seconds each time
    And each time cost the aggregator at most 2 calls of each router
    And it is called at most 60 times a second while there are no updates

    Examples:
      | routers | within |
      | 21      | 1      |
      | 300     | 1      |

  Scenario Outline: All of <routers> routers hold back a part that crashed three servers, and no other
    Each crash was met by another router, and each answer to the part that all share by another one.
    Given <routers> routers that report to the aggregator of a sidecar
    When 3 servers crash under different requests with a part of their own and one that all share
    Then all routers hold back the part of their own within 3 seconds, and none the one that all share

    Examples:
      | routers |
      | 21      |
      | 410     |

  Scenario Outline: Of <routers> routers one after the other tries a part whose hold is over
    All routers that got a request with the part sent it at once, and each crashed a server.
    Given <routers> routers that take turns with trials
    When the hold of a part is over and each router gets a request with it all the time
    Then one router has sent it after 0.9 seconds, and at most 4 after 4 intervals

    Examples:
      | routers |
      | 3       |
      | 410     |
