Feature: A request that crashes the servers that run it
  The process of a server ends when it begins to run one certain request, and all other requests at
  that server are lost.  The server restarts after some seconds; the request is sent again with the
  same account, path and body, under a new id, to any router.

  Scenario Outline: It is sent to no more servers after it crashed three
    No router remembered a request after it ended.  Each attempt had another id, so that nothing
    showed that it was the same request; a broken run counted only against its server.  Nine engines
    had crashed under one request when it was reported; 13 requests were lost at one of them, among
    them this one:
    "forward_sending_failed server=i-ede7ad9427 outcome=lost reason=the connection closed".
    Given <routers> routers and <servers> servers that a request may crash
    When the routers run with the store <store>
    And the request is sent <times> times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 3 seconds after the third crash
    And the last <refused> of them are refused as not run, with a time to retry

    Examples:
      | routers | servers | store | times | refused |
      | 3       | 6       | up    | 30    | 15      |
      | 3       | 20      | down  | 20    | 5       |
      | 1       | 6       | up    | 30    | 15      |

  Scenario: It is sent to no more servers if routers report through an aggregator
    With many routers, each exchanges reports with a sidecar instead of with all others.
    Given 10 routers with 3 sidecars and 8 servers that a request may crash
    When the request is sent 40 times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 3 seconds after the third crash
    And the last 15 of them are refused as not run, with a time to retry

  Scenario: A router that restarts gets the records from the others
    The records of a router are lost with its process, and those in the store have expired.
    Given 3 routers and 20 servers that a request may crash
    When the request is sent 10 times, each 0.4 seconds to the next router
    And its stored records have expired
    And router 0 restarts
    And 3 seconds pass in the fleet
    And the request is sent 3 times to router 0
    Then at most 3 of them reach a server more than 3 seconds after the third crash
    And the last 3 of them are refused as not run, with a time to retry
    And the harmless request is answered

  Scenario: Routers that all restart read the records in the store
    All processes are killed at once, so that no router is left that has the records.
    Given 3 routers and 6 servers that a request may crash
    When the request is sent 10 times, each 0.4 seconds to the next router
    And all routers restart
    And 3 seconds pass in the fleet
    And the request is sent 9 times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 3 seconds after the third crash
    And the last 9 of them are refused as not run, with a time to retry

  Scenario: A request that may be retried crashes no more servers than others
    A router sends it to the next server as soon as one is lost.
    Given 3 routers and 9 servers that a request may crash
    When it may be retried on 3 servers
    And the request is sent 30 times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 3 seconds after the third crash
    And the last 15 of them are refused as not run, with a time to retry

  Scenario: Requests that ran beside it are served
    A request that was lost with three servers but answered by others in between did not crash them.
    Given 3 routers and 6 servers that a request may crash
    When a harmless request runs at a server that crashes, and is then answered, 5 times
    Then the harmless request is answered

  Scenario: A request whose connections break is served
    The servers keep running: only connections broke, or responses were lost.
    Given 3 routers and 6 servers that a request may crash
    When the connections of a harmless request break 8 times
    Then the harmless request is answered

  Scenario: Another account's equal request is served
    Given 3 routers and 6 servers that a request may crash
    When the request is sent 12 times, each 0.4 seconds to the next router
    Then an equal request of another account reaches a server

  Scenario: A server whose machine is lost is detected by its entry
    Nothing refuses a connection; only the expiry of its entry in the store shows the crash.
    Given 3 routers and 6 servers that a request may crash
    When crashed servers leave connection attempts unanswered
    And the request is sent 30 times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 6 seconds after the third crash
    And the last 9 of them are refused as not run, with a time to retry

  Scenario: Incarnations of a server with one name are told apart by their start times
    One server crashed repeatedly; taken for one incarnation, it counted as one crash.
    Given 3 routers and 2 servers that a request may crash
    When crashed servers restart under their names
    And the request is sent 40 times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 3 seconds after the third crash
    And the last 15 of them are refused as not run, with a time to retry

  Scenario: A request that hangs at machines that are lost
    No connection breaks: the request waits until its deadline, and the expiry of the entry shows
    that its server is gone.
    Given 3 routers and 12 servers that a request may crash
    When crashed servers accept no connections and leave open ones silent
    And the request is sent 8 times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 6 seconds after the third crash
    And the last 3 of them are refused as not run, with a time to retry

  Scenario: A request that is held back is tried once more after a while
    The servers may have been fixed by then. One more crash holds it back for twice as long.
    Given records of a request that crashed 3 servers, which hold it back for 600 seconds
    When 601 seconds pass for the records
    Then the request may run
    When it crashes another server
    Then it is held back for 1200 seconds

  Scenario: Records are merged in any order, and a success clears the crashes before it
    Given records of a request that crashed 3 servers, which hold it back for 600 seconds
    When another instance merges them twice, and the request is answered there
    Then neither instance holds it back after they exchange old and new updates

  Scenario: Records with few crashes are dropped before records with many
    Every request that ran at a large server when it crashed has a record.
    Given records of a request that crashed 3 servers, which hold it back for 600 seconds
    When 2000 other requests are each lost with a server
    Then it is still held back, and at most 256 records are kept

  Scenario: A crash behind a socket that stays open is detected by the next incarnation
    The process supervisor keeps the socket open, so that no connection is ever refused.
    Given 3 routers and 6 servers that a request may crash
    When the addresses of crashed servers stay open, and each restarts at once
    And the request is sent 30 times, each 0.4 seconds to the next router
    Then at most 3 of them reach a server more than 3 seconds after the third crash
    And the last 15 of them are refused as not run, with a time to retry

  Scenario: Servers that all crash at once have another cause
    Many callers send the same request, so that it runs at four servers when these lose power
    together. It was taken for the cause and refused for ten minutes.
    Given 3 routers and 8 servers that a request may crash
    When a harmless request runs 12 times at once, and all servers that run it crash together
    And 4 seconds pass in the fleet
    Then the harmless request is answered

  Scenario: A request that is sent three times at once is held back after the second time
    Some servers crash together then, but it crashed others before.
    Given 3 routers and 9 servers that a request may crash
    When the request is sent 5 times, each 3.5 seconds, to all routers at once
    Then at most 3 of them reach a server more than 3 seconds after the third crash
