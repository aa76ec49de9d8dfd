Feature: News of servers and requests among many routers
  What an answer or a broken run told one router concerns all of them, also at size.

  Scenario Outline: All routers hear of it in time
    A server that says in an answer that it leaves may get no more requests after 2 s, a request
    that ends servers none after 3 s.  Of 300 routers each looked at the board every 7.5 s; others
    heard of it after up to twice that.
    Given <routers> routers that leave words on the board of a sidecar
    When one of them hears of a server that leaves, 10 times
    Then all have heard of it within <within> seconds each time
    And each time cost the board at most 2 calls of each router
    And it is asked at most 60 times a second while there are no news

    Examples:
      | routers | within |
      | 21      | 1      |
      | 300     | 1      |
