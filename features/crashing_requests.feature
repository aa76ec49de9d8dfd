Feature: A request that ends the servers that run it
  The process of a server ends when it begins to run one certain request, and all others there are
  lost with it.  The server is back after some seconds; the request comes again with the same
  account, path and body, under a new id, at any router.

  Scenario Outline: It goes to no more servers once it has ended three
    Nobody remembered a request beyond its end.  Each attempt had another id, so that nothing told
    that it was the same; a broken run counted against its server alone. Nine engines had ended under
    one request as it was reported; 13 requests were lost at one of them, this one among them:
    "forward_sending_failed server=i-ede7ad9427 outcome=lost reason=the connection closed".
    Given <routers> routers and <servers> servers that may be ended by a request
    When the routers find the store <store>
    And the request comes <times> times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 3 seconds after the third end
    And the last <refused> of them are told that they did not run, and when to come back

    Examples:
      | routers | servers | store | times | refused |
      | 3       | 6       | well  | 30    | 15      |
      | 3       | 20      | away  | 20    | 5       |
      | 1       | 6       | well  | 30    | 15      |

  Scenario: It goes to no more servers where routers leave their words on a board
    With many routers each talks to a sidecar instead of to each other.
    Given 10 routers with 3 sidecars and 8 servers that may be ended by a request
    When the request comes 40 times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 3 seconds after the third end
    And the last 15 of them are told that they did not run, and when to come back

  Scenario: A router that starts again is told by the others
    What a router knew is gone with its process, and what was written into the store has lapsed.
    Given 3 routers and 20 servers that may be ended by a request
    When the request comes 10 times, each 0.4 seconds at the next router
    And what was written of it into the store has lapsed
    And router 0 starts again
    And 3 seconds go by in the fleet
    And the request comes 3 times at router 0
    Then at most 3 of them reach a server later than 3 seconds after the third end
    And the last 3 of them are told that they did not run, and when to come back
    And the harmless request is answered

  Scenario: Routers that all start again read it in the store
    All processes are killed at once, so that nobody is left who could tell.
    Given 3 routers and 6 servers that may be ended by a request
    When the request comes 10 times, each 0.4 seconds at the next router
    And all routers start again
    And 3 seconds go by in the fleet
    And the request comes 9 times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 3 seconds after the third end
    And the last 9 of them are told that they did not run, and when to come back

  Scenario: A request that may be repeated ends no more servers than others
    A router sends it on to the next server as soon as one is lost.
    Given 3 routers and 9 servers that may be ended by a request
    When it may be repeated on 3 servers
    And the request comes 30 times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 3 seconds after the third end
    And the last 15 of them are told that they did not run, and when to come back

  Scenario: What ran beside it is served
    A request that was lost with three servers, but was answered by others between, did not end them.
    Given 3 routers and 6 servers that may be ended by a request
    When a harmless request runs at a server that ends, and is then answered, 5 times
    Then the harmless request is answered

  Scenario: A request whose connections break is served
    The servers go on: it was the connections that broke, or the answers were lost.
    Given 3 routers and 6 servers that may be ended by a request
    When the connections of a harmless request break 8 times
    Then the harmless request is answered

  Scenario: Another account's equal request is served
    Given 3 routers and 6 servers that may be ended by a request
    When the request comes 12 times, each 0.4 seconds at the next router
    Then an equal request of another account is sent to a server

  Scenario: A server that falls silent is found by its entry
    Its machine is gone, too: nothing refuses a connection, and only the store tells, after a while.
    Given 3 routers and 6 servers that may be ended by a request
    When the machines of servers that end fall silent
    And the request comes 30 times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 6 seconds after the third end
    And the last 9 of them are told that they did not run, and when to come back

  Scenario: Servers that start again under their names are told apart by their births
    One server ended again and again; taken for one life, it counted as one end.
    Given 3 routers and 2 servers that may be ended by a request
    When servers that end start again under their names
    And the request comes 40 times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 3 seconds after the third end
    And the last 15 of them are told that they did not run, and when to come back

  Scenario: A request that hangs at machines that are gone
    Nothing breaks: the request waits until its time is over, and the entry tells that its server is
    gone.
    Given 3 routers and 12 servers that may be ended by a request
    When the machines of servers that end fall silent, and their connections too
    And the request comes 8 times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 6 seconds after the third end
    And the last 3 of them are told that they did not run, and when to come back

  Scenario: A request that is held back is tried once more after a while
    Servers may have been mended meanwhile. One more end holds it back for twice as long.
    Given records of a request that ended 3 servers, which hold it for 600 seconds
    When 601 seconds pass for the records
    Then the request may run
    When another server ends under it
    Then it is held back for 1200 seconds

  Scenario: Records are joined in any order, and an answer counts for what ended before it
    Given records of a request that ended 3 servers, which hold it for 600 seconds
    When other records hear of it twice, and that it was answered
    Then neither holds it back, whatever they tell each other again

  Scenario: Records of many requests yield to those of few
    All that ran at a large server when it ended has a record.
    Given records of a request that ended 3 servers, which hold it for 600 seconds
    When 2000 other requests are lost with a server each
    Then it is still held back, and at most 256 records are kept

  Scenario: A server whose address is listened at all the while is told by its next life
    What starts it again holds its address open, so that no connection is ever refused.
    Given 3 routers and 6 servers that may be ended by a request
    When the addresses of servers stay open, and each is back at once
    And the request comes 30 times, each 0.4 seconds at the next router
    Then at most 3 of them reach a server later than 3 seconds after the third end
    And the last 15 of them are told that they did not run, and when to come back

  Scenario: Servers that all end at once have ended for another reason
    Many callers ask for the same, so that it is under way at four servers as these lose power
    together. Taken for the cause, it was refused for ten minutes.
    Given 3 routers and 8 servers that may be ended by a request
    When a harmless request runs 12 times at once, and all servers that run it end together
    And 4 seconds go by in the fleet
    Then the harmless request is answered

  Scenario: What comes three at a time is held back after the second time
    Some servers end together then, but it ended others before.
    Given 3 routers and 9 servers that may be ended by a request
    When the request comes 5 times, each 3.5 seconds, at all routers at once
    Then at most 3 of them reach a server later than 3 seconds after the third end
