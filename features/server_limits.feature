Feature: Servers that name a limit in their answers
  A server in need names how many requests a second it takes from all routers together, for as long as
  its answers say so.

  Scenario Outline: Routers together send a server no more than the limit that it named
    It named 1.8 a second and got 24 requests in 4 s where 16 are allowed, from routers that had passed
    on its answers: the header went to callers unread.
    Given <routers> routers with 3 sidecars and 6 servers in three data centres
    When server 0 names a limit of "1.8" in answers with status <status>
    And 60 requests a second come at all routers for 12 seconds
    Then from 3 seconds on server 0 got at most 16 requests in any 4 seconds
    And each of them was answered

    Examples:
      | routers | status |
      | 5       | 200    |
      | 5       | 503    |
      | 21      | 200    |

  Scenario: Routers that the server did not answer keep its limit, too
    They hear of it from the router that it told, also while the store is down.
    Given 5 routers with 3 sidecars and 6 servers in three data centres
    When the store is down for all of them
    And server 0 names a limit of "1.8" in answers with status 200
    And router 0 has passed on such an answer
    And 1 seconds go by for them
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at most 16 requests in any 4 seconds
    And each of them was answered
