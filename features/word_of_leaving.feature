Feature: What servers announce in their responses
  A leaving server also announces it in each response.  A server that declines a request may name a
  time during which it accepts no more.

  Scenario Outline: A server that announces in a response that it leaves gets no more requests
    The store was down from 7 s to 20 s, so that no entry showed it.  The header of the response was
    relayed to the caller unread, and routers kept sending requests there.
    Given 3 routers and 4 servers that answer over connections
    When the store is down for all of them
    And server 0 leaves, and announces it in responses with status <status>
    And router 0 has passed on such an answer
    And 40 requests come at router 0
    Then server 0 got none of them
    And each of them was answered by another server

    Examples:
      | status |
      | 200    |
      | 500    |
      | 503    |

  Scenario: The other routers are notified without the store
    Given 3 routers and 4 servers that answer over connections
    When the store is down for all of them
    And server 0 leaves, and announces it in responses with status 200
    And router 0 has passed on such an answer
    And 1 seconds go by for them
    And 20 requests come at router 1
    Then server 0 got none of them

  Scenario: Routers that report through an aggregator are notified, too
    Given 10 routers with 3 sidecars and 4 servers that answer over connections
    When server 0 leaves, and announces it in responses with status 200
    And router 0 has passed on such an answer
    And 2 seconds go by for them
    And 20 requests come at router 7
    Then server 0 got none of them

  Scenario: An entry from before the announcement does not bring it back
    The store is back before the announcement is written to it, and returns the older entry.
    Given 3 routers and 4 servers that answer over connections
    When the store is down for all of them
    And server 0 leaves, and announces it in responses with status 200
    And router 0 has passed on such an answer
    And the store is back, where server 0 rewrites its entry as not leaving
    And 2 seconds go by for them
    And 40 requests come at router 0
    Then server 0 got none of them

  Scenario: An entry that was gone for a while does not bring it back
    Given 3 routers and 4 servers that answer over connections
    When server 0 leaves, and announces it in responses with status 200
    And router 0 has passed on such an answer
    And the entry of server 0 is gone for 3 seconds
    And 40 requests come at router 0
    Then server 0 got none of them

  Scenario: Its next incarnation gets requests
    It restarts under its name; a later start time tells the two incarnations apart.
    Given 3 routers and 4 servers that answer over connections
    When server 0 leaves, and announces it in responses with status 200
    And router 0 has passed on such an answer
    And server 0 starts again under its name
    And 1 seconds go by for them
    And 40 requests come at router 0
    Then server 0 got some of them

  Scenario: A server that names a retry time gets no requests until then
    It declined a request with 503 and "retry-after: 3".  The next requests were sent to it all the
    same, since the router recorded only that one request was declined.
    Given 3 routers and 4 servers that answer over connections
    When server 0 declines requests, with a retry time of 3 seconds
    And router 0 got such a response
    And 20 requests come at router 0 within 2.5 seconds
    Then server 0 got none of them
    And each of them was answered by another server
    When 1 seconds go by for them
    And 40 requests come at router 0
    Then server 0 got some of them

  Scenario: It gets no requests even if its entry was gone in the meantime
    Given 3 routers and 4 servers that answer over connections
    When server 0 declines requests, with a retry time of 6 seconds
    And router 0 got such a response
    And the entry of server 0 is gone for 3 seconds
    And 20 requests come at router 0
    Then server 0 got none of them

  Scenario: Callers are given the earliest retry time of the servers
    Given 1 routers and 2 servers that answer over connections
    When server 0 declines requests, with a retry time of 5 seconds
    And server 1 declines requests, with a retry time of 3 seconds
    And router 0 got such a response
    And 4 requests come at router 0
    Then server 0 got none of them
    And server 1 got none of them
    And each of them was told to come back in 1.5 to 4.5 seconds

  Scenario Outline: A retry time that can not be parsed is ignored
    Given 1 routers and 2 servers that answer over connections
    When server 0 declines requests, with "retry-after: <word>"
    And router 0 got such a response
    And 10 requests come at router 0
    Then server 0 got some of them

    Examples:
      | word                          |
      | soon                          |
      | -3                            |
      | nan                           |
      | inf                           |
      | Wed, 21 Oct 2099 07:28:00 GMT |
