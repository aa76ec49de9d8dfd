Feature: Servers that are cold after their start
  A server that has just started can handle few requests per second from all routers together, and
  crashes under more.

  Scenario Outline: Routers together send a cold server no more than its limit
    It had no requests, so that all routers preferred it: it got 31 requests in one second.
    Given <routers> routers and 6 servers in three data centres
    When server 0 writes that it is cold for 3 seconds
    And 300 requests a second come at all routers for 2 seconds
    Then server 0 got at most 16 requests in any second
    And each of them was answered by another server

    Examples:
      | routers |
      | 3       |
      | 21      |

  Scenario: A data centre that is returned to service gets few requests at first
    Its servers may have started while it was evacuated, and their entries are seconds old.
    Given 3 routers and 6 servers in three data centres
    When data centre porto-b is evacuated
    And 2 seconds go by for them
    And data centre porto-b is taken back
    And 300 requests a second come at all routers for 2 seconds
    Then servers of porto-b got at most 16 requests each in any second
    And each of them was answered by another server

  Scenario: A server that was unreachable gets few requests at first
    It may have restarted under its name, and its entry may be older than the restart.
    Given 3 routers and 6 servers in three data centres
    When server 0 refuses connections for 2 seconds, while requests come
    And 30 seconds go by for them
    And 300 requests a second come at all routers for 2 seconds
    Then server 0 got at most 16 requests in any second

  Scenario: All routers and servers lose power
    A starting router polled three times for other routers before it sent a cold server anything:
    for two seconds all requests were refused, although each server could handle 16 per second.
    Given 21 routers and 6 servers in three data centres
    When all routers start again, and all servers are cold for 4 seconds
    And 60 requests a second come at all routers for 2 seconds
    Then no server got more than 29 requests in any second
    And at least 90 of them were answered by a server

  Scenario: Callers are told when to retry if all servers are cold
    Given 3 routers and 1 servers in three data centres
    When server 0 writes that it is cold for 3 seconds
    And 300 requests a second come at all routers for 1 seconds
    Then server 0 got at most 16 requests in any second
    And those that were refused were told to come back in 0.1 to 4 seconds

  Scenario Outline: Each policy keeps the limit at every size of the fleet
    Routers know slightly different sets of routers, and their clocks differ by up to 40 ms.
    When <per_s> requests a second are sent to a cold server by <routers> routers with <policy>
    Then the cold server got at most 29 within any second
    And it got at least <least> while it was cold

    Examples:
      | policy      | routers | per_s | least |
      | few_routers | 3       | 60    | 30    |
      | few_routers | 21      | 150   | 30    |
      | few_routers | 68      | 400   | 30    |
      | few_routers | 410     | 2400  | 30    |
      | time_slots  | 3       | 60    | 1     |
      | time_slots  | 21      | 150   | 1     |
      | time_slots  | 68      | 400   | 1     |
      | time_slots  | 410     | 2400  | 1     |

  Scenario: For a warm server only the requests of the last second are kept
    All were kept until the router ended, in case the server became cold.
    When 100 requests a second go to a warm server for 60 seconds
    Then no request before the last second is kept
