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
