Feature: A part of prompts that crashes the servers that answer it
  A server ends when it begins to answer a request whose prompt has one certain part, and all other requests at
  that server are lost. No two requests are alike; sound ones share the account and the other parts.

  Scenario Outline: A crashing part in <place> place
    Requests were compared as a whole, so that those which share one part had nothing in common: 17 servers
    had ended when it was reported.
    Given 3 routers and 8 servers, and prompts that share parts
    And a part in <place> place crashes servers
    When requests come for 25 seconds
    Then at most 3 requests with that part reach servers late
    And at most 8 servers have crashed
    And sound requests reach servers as before
    And requests with that part are refused as not run, with the reason

    Examples:
      | place        |
      | first        |
      | middle       |
      | next to last |

  Scenario Outline: A crashing part whose requests are sent again
    Given 3 routers and 8 servers, and prompts that share parts
    And a part in middle place crashes servers
    And callers repeat requests with that part <times> times
    And their routers retry at <attempts> servers
    When requests come for 25 seconds
    Then at most 3 requests with that part reach servers late
    And sound requests reach servers as before

    Examples:
      | times | attempts |
      | 3     | 1        |
      | 1     | 3        |
      | 2     | 2        |

  Scenario: Two parts crash servers at the same time
    Given 3 routers and 12 servers, and prompts that share parts
    And two parts crash servers
    When requests come for 25 seconds
    Then at most 3 requests with each of the parts reach servers late
    And sound requests reach servers as before

  Scenario: A crashing part while the store is down
    Given 3 routers and 12 servers, and prompts that share parts
    And a part in middle place crashes servers
    When the store of the routers is down
    And requests come for 15 seconds
    Then at most 3 requests with that part reach servers late
    And sound requests reach servers as before

  Scenario: A crashing part with routers that report through an aggregator
    Given 10 routers with 3 sidecars and 12 servers, and prompts that share parts
    And a part in middle place crashes servers
    When requests come for 25 seconds
    Then at most 3 requests with that part reach servers late
    And sound requests reach servers as before

  Scenario: A crashing part while routers restart one after the other
    Given 3 routers and 8 servers, and prompts that share parts
    And a part in middle place crashes servers
    When requests come for 4 seconds
    And a router restarts every 2 seconds while requests come, 8 times
    Then at most 3 requests with that part reach servers late

  Scenario: A crashing part while all routers restart
    Given 3 routers and 8 servers, and prompts that share parts
    And a part in middle place crashes servers
    When requests come for 6 seconds
    And all routers of the fleet restart
    And requests come for 15 seconds
    Then at most 3 requests with that part reach servers late

  Scenario: A crashing part across a cut
    Each side learns by itself what it can't hear from the other.
    Given 3 routers and 12 servers, and prompts that share parts
    And a part in middle place crashes servers
    When router 2 of the fleet loses all links
    And requests come for 25 seconds
    Then at most 8 requests with that part reach servers late
    And sound requests reach servers as before

  Scenario: Servers that lose power together do not hold back the parts that all share
    Given 3 routers and 8 servers, and prompts that share parts
    When 4 servers lose power together, 4 times in 12 seconds
    And sound requests come for 5 seconds
    Then sound requests reached servers all the time

  Scenario: Servers that crash for their own reason do not hold back the parts that all share
    Given 3 routers and 8 servers, and prompts that share parts
    When 1 servers lose power together, 10 times in 10 seconds
    And sound requests come for 5 seconds
    Then sound requests reached servers all the time

  Scenario: A part that no longer crashes servers comes back into service
    Given 3 routers and 8 servers, and prompts that share parts
    And a part in middle place crashes servers
    When requests come for 10 seconds
    And the part no longer crashes servers
    And sound requests come for 600 seconds
    And requests come for 20 seconds
    Then requests with that part are answered

  Scenario: An account that makes up parts
    Given 3 routers and 8 servers, and prompts that share parts
    And a part in middle place crashes servers
    When another account makes up 100 parts for each of 200 requests
    And requests come for 25 seconds
    Then at most 3 requests with that part reach servers late
    And sound requests reach servers as before
    And a router keeps at most 256 records
