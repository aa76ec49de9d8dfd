Feature: Declarations that take a while to arrive
  A configuration of 2,000 routes takes most of a second on the link of a small router, and more
  than two uncompressed.

  Scenario: A router that is cut off gets a large configuration through a sidecar
    The caller of a new route got 404 from a router that had lost the store.  The router asked a
    sidecar for the complete list with one time-out for the whole answer, which expired while the
    answer arrived: what had arrived was discarded, and the next attempt filled the link again.
    Given 4 routers on links of 5 Mbit/s, and 2 sidecars
    When 4 of the routers are cut off from the store
    And a configuration of 2000 routes is written
    Then all routers have it in force within 4 seconds
    And the link of each router carried at most 2 times what was written

  Scenario: A router that is cut off gets a large configuration from another router
    The caller of a new route got 404 from a router that had lost the store and knew no sidecar.  All
    other routers sent it the complete document at once, each with a time-out that was too short.
    Given 6 routers on links of 5 Mbit/s, and 0 sidecars
    When 1 of the routers are cut off from the store
    And a configuration of 2000 routes is written
    Then all routers have it in force within 4 seconds
    And the link of each router carried at most 2 times what was written

  Scenario: Many routers get a large configuration through the sidecar that polls the store for them
    Changes of more than 100 kB were not relayed: all routers of a data centre read the complete
    configuration from the store at once, and took the sidecar for lost for 3 seconds.
    Given 12 routers on links of 5 Mbit/s, and 2 sidecars
    When a configuration of 2000 routes is written
    Then all routers have it in force within 2 seconds
    And the link of each router carried at most 1 times what was written
