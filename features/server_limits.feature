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
    And the routers counted at least 100 that passed it over

  Scenario: A limit holds for as long as the server says so
    Given 5 routers with 3 sidecars and 6 servers in three data centres
    When server 0 names a limit of "1.8" in answers with status 200
    And 60 requests a second come at all routers for 6 seconds
    And server 0 names no limit any more
    And 60 requests a second come at all routers for 2 seconds
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at least 20 of the last 240 requests

  Scenario: An answer that was begun before does not end a limit
    It came after the first answer that named the limit, as answers of different connections may.
    Given 1 routers with 0 sidecars and 3 servers in three data centres
    When server 0 takes 2 seconds for an answer, and meanwhile names a limit of "0.5"
    And 60 requests a second come at all routers for 2 seconds
    And the answer that was begun before has come
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at most 4 requests in any 4 seconds

  Scenario: The next life of a server has no limit of before
    Given 3 routers with 0 sidecars and 3 servers in three data centres
    When server 0 names a limit of "0.5" in answers with status 200
    And router 0 has passed on such an answer
    And server 0 starts again under its name
    And 1 seconds go by for them
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at least 20 of the last 240 requests

  Scenario: An entry that was gone for a while does not end a limit
    Given 3 routers with 0 sidecars and 4 servers in three data centres
    When server 0 names a limit of "0.5" in answers with status 200
    And router 0 has passed on such an answer
    And the entry of server 0 is gone for 3 seconds
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at most 4 requests in any 4 seconds

  Scenario: A router that starts later keeps it
    Given 3 routers with 0 sidecars and 6 servers in three data centres
    When server 0 names a limit of "0.5" in answers with status 200
    And router 0 has passed on such an answer
    And a further router starts
    And 100 requests come at it
    Then server 0 got at most 4 requests in any 4 seconds

  Scenario: Callers are told when nothing but limited servers is left
    They are rejected at once, and what the server takes is used.
    Given 5 routers with 3 sidecars and 1 servers in three data centres
    When server 0 names a limit of "3" in answers with status 200
    And 60 requests a second come at all routers for 20 seconds
    Then server 0 got at most 23 requests in any 4 seconds
    And at least 48 of them were answered by a server
    And those that were refused were told to come back in 0.1 to 4 seconds

  Scenario Outline: A limit of next to nothing is tried now and then
    Without any request nobody would hear that it is over.
    Given 5 routers with 3 sidecars and 6 servers in three data centres
    When server 0 names a limit of "<limit>" in answers with status 200
    And 30 requests a second come at all routers for 40 seconds
    Then from 3 seconds on server 0 got at most 2 requests in any 10 seconds
    And from 10 seconds on server 0 got at least 2 requests

    Examples:
      | limit |
      | 0     |
      | 0.0   |
      | 0.02  |

  Scenario: A limit that nobody hears of any more is forgotten
    All routers that had a share of it are gone.
    Given 3 routers with 0 sidecars and 3 servers in three data centres
    When server 0 names a limit of "0.5" in answers with status 200
    And router 0 has passed on such an answer
    And server 0 names no limit any more
    And 31 seconds go by for them
    And 60 requests a second come at all routers for 4 seconds
    Then server 0 got at least 20 of the last 240 requests

  Scenario Outline: What is no limit changes nothing
    Given 3 routers with 0 sidecars and 3 servers in three data centres
    When server 0 names a limit of "<limit>" in answers with status 200
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
    When <per_s> requests a second meet a server that names <limit> and <routers> routers by <policy>
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

  Scenario: A limit that differs from answer to answer is not told each time
    When a server names limits of 10 to 10.5, another one in each of 100 answers within 4 seconds
    Then the other routers are told of it once
    And the router itself keeps the last one
