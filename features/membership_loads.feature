Feature: Load reports in membership
  Routers choose backend servers by reports that share a rate of bytes on each link.

  Scenario: Reports that come too soon are thinned, their cache changes are not lost
    A router that missed a cached prefix sends the prompt elsewhere, and the engine there
    computes the whole of it again.
    Given a load book that has 200 servers and 600 bytes a second
    When the load book is offered cached prefixes 11, 12 and 13 one a second for 30 seconds
    Then the load book spread 2 to 4 reports of the server
    And the load book's reports told of prefixes 11, 12 and 13
    And the load book's reports counted their cache changes without a gap

  Scenario: More cache changes than all routers can be told
    The count of changes jumps, so that routers know that they miss some.
    Given a load book that has 200 servers and 600 bytes a second
    When the load book is offered 500 cached prefixes at once
    Then the load book's reports counted their cache changes with a gap

  Scenario: An answer to a beat is lost
    The sidecar can't know whether its report arrived; the engine won't tell the changes
    again, so they go with every report until one is answered.
    Given a load fleet of 2 routers and 1 sidecar in porto-a
    When the load fleet's sidecar gets no answers while it reports prefix 11
    And the load fleet's sidecar reports prefix 12
    Then the load fleet's routers know of prefixes 11 and 12

  Scenario: Another data centre has many backend servers
    Its servers' reports would cost more than control may; their mean says whether it is
    worth going there.
    Given a load fleet over porto-a and porto-b with 2 routers and 30 sidecars each
    And the load fleet's servers are declared
    When each load fleet sidecar of porto-a reports 6 running requests
    Then the load fleet's routers of porto-b know 6 running requests at each server of porto-a

  Scenario: All reports together keep to the rate
    Given a load fleet of 4 routers and 60 sidecars in porto-a
    When the load fleet reports each second for 60 seconds
    Then no load fleet router was sent more than 375 bytes of reports a second from above
    And every load fleet report is at most 10 seconds old at every router
