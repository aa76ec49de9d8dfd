Feature: Servers that advertise a limit in their responses
  An overloaded server advertises how many requests per second it accepts from all routers together.
  The limit applies as long as its responses have it.

  Scenario Outline: Routers together send a server no more than its advertised limit
    It advertised 1.8 per second and got 24 requests in 4 s where 16 are allowed, from routers that
    had relayed its responses: the header went to callers unread.
    Given <routers> routers with 3 sidecars and 6 servers in three data centres
    When server 0 advertises a limit of "1.8" in responses with status <status>
    And 60 requests a second come at all routers for 12 seconds
    Then from 3 seconds on server 0 got at most 16 requests in any 4 seconds
    And each of them was answered

    Examples:
      | routers | status |
      | 5       | 200    |
      | 5       | 503    |
      | 21      | 200    |

  Scenario: Routers without a response of the server keep its limit, too
    The router that got the response reports the limit to them, also while the store is down.
    Given 5 routers with 3 sidecars and 6 servers in three data centres
    When the store is down for all of them
    And server 0 advertises a limit of "1.8" in responses with status 200
    And router 0 has passed on such an answer
    And 1 seconds go by for them
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at most 16 requests in any 4 seconds
    And each of them was answered
    And the routers counted at least 100 placements that skipped it

  Scenario: A limit applies as long as the server advertises it
    Given 5 routers with 3 sidecars and 6 servers in three data centres
    When server 0 advertises a limit of "1.8" in responses with status 200
    And 60 requests a second come at all routers for 6 seconds
    And server 0 advertises no limit any more
    And 60 requests a second come at all routers for 2 seconds
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at least 20 of the last 240 requests

  Scenario: A response that was begun before the limit does not end it
    It arrived after the first response with the limit, as is possible on different connections.
    Given 1 routers with 0 sidecars and 3 servers in three data centres
    When server 0 takes 2 seconds for a response and advertises a limit of "0.5"
    And 60 requests a second come at all routers for 2 seconds
    And the response that was begun before has arrived
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at most 4 requests in any 4 seconds

  Scenario: A restarted server does not inherit the limit
    Given 3 routers with 0 sidecars and 3 servers in three data centres
    When server 0 advertises a limit of "0.5" in responses with status 200
    And router 0 has passed on such an answer
    And server 0 starts again under its name
    And 1 seconds go by for them
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at least 20 of the last 240 requests

  Scenario: A temporarily missing entry does not end a limit
    Given 3 routers with 0 sidecars and 4 servers in three data centres
    When server 0 advertises a limit of "0.5" in responses with status 200
    And router 0 has passed on such an answer
    And the entry of server 0 is gone for 3 seconds
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at most 4 requests in any 4 seconds

  Scenario: A router that starts later keeps the limit
    Given 3 routers with 0 sidecars and 6 servers in three data centres
    When server 0 advertises a limit of "0.5" in responses with status 200
    And router 0 has passed on such an answer
    And a further router starts
    And 100 requests come at it
    Then server 0 got at most 4 requests in any 4 seconds

  Scenario: Callers are told when to retry if all servers are limited
    They are refused at once, and the limit is used up.
    Given 5 routers with 3 sidecars and 1 servers in three data centres
    When server 0 advertises a limit of "3" in responses with status 200
    And 60 requests a second come at all routers for 20 seconds
    Then server 0 got at most 23 requests in any 4 seconds
    And at least 48 of them were answered by a server
    And those that were refused were told to come back in 0.1 to 4 seconds

  Scenario Outline: A server with a limit near zero gets a request now and then
    Without any request no router would learn that the limit is gone.
    Given 5 routers with 3 sidecars and 6 servers in three data centres
    When server 0 advertises a limit of "<limit>" in responses with status 200
    And 30 requests a second come at all routers for 40 seconds
    Then from 3 seconds on server 0 got at most 2 requests in any 10 seconds
    And from 10 seconds on server 0 got at least 2 requests

    Examples:
      | limit |
      | 0     |
      | 0.0   |
      | 0.02  |

  Scenario: A limit that is no longer confirmed expires
    All routers that had a share of it are gone.
    Given 3 routers with 0 sidecars and 3 servers in three data centres
    When server 0 advertises a limit of "0.5" in responses with status 200
    And router 0 has passed on such an answer
    And server 0 advertises no limit any more
    And 31 seconds go by for them
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at least 20 of the last 240 requests

  Scenario Outline: An invalid limit is ignored
    Given 3 routers with 0 sidecars and 3 servers in three data centres
    When server 0 advertises a limit of "<limit>" in responses with status 200
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at least 20 of the last 240 requests

    Examples:
      | limit |
      | some  |
      | -3    |
      | nan   |
      | inf   |

  Scenario Outline: Each policy's share of a limit at every size of the fleet
    Each router does not know one in twenty of the others; clocks differ by up to 40 ms.
    When <per_s> requests a second are sent to a server that advertises <limit> by <routers> routers with <policy>
    Then the limited server got at most <most> within any 4 seconds
    And it got at least <least> in 60 seconds

    Examples:
      | policy      | routers | per_s | limit | most | least |
      | few_routers | 3       | 60    | 1.8   | 15   | 80    |
      | few_routers | 21      | 150   | 1.8   | 15   | 80    |
      | few_routers | 68      | 400   | 1.8   | 15   | 80    |
      | few_routers | 410     | 2400  | 1.8   | 15   | 80    |
      | few_routers | 410     | 2400  | 30    | 185  | 1400  |
      | few_routers | 3       | 60    | 0.4   | 7    | 14    |
      | equal_parts | 3       | 60    | 1.8   | 15   | 80    |

  Scenario: A limit that differs in each response is not reported each time
    When a server advertises limits of 10 to 10.5, changing in each of 100 responses within 4 s
    Then it is reported to the other routers once
    And the router itself keeps the last one
