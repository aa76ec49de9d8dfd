Feature: The adapter of the users' platform
  It translates the platform's documents, store calls and headers into the product's types.

  Scenario: A valid configuration is decoded
    Then the example configuration is read into routes, services, accounts and limits

  Scenario Outline: An invalid configuration document is ignored
    Given a router that follows the users' store
    When the operator's document is <text>
    And version 3 is configured
    Then version 3 is in force

    Examples:
      | text          |
      | {             |
      | {"version":2} |
      | []            |

  Scenario: The settings file is read
    Then the settings file becomes the product's settings
    And a settings file without "bounds" is rejected with an error that names it
    And a settings file with a negative retry slack is rejected with the flag and its bounds

  Scenario: The parts for load beyond the capacity are on only where the settings call for them
    A deployment that does not name "pressure" must be served as before.
    Then a settings file without the contract "pressure" leaves the new settings at their defaults
    And one with it sets a longer pause between attempts to read the store
    And waiting-policy is "fair" for the contracts "service,pressure"
    And waiting-policy is "off" for the contracts "service"

  Scenario: The names of the worker headers
    A router ignores a worker's header if it looks for it under another name.
    Then workers send "server-leaving" and "retry-after", and no client can set the first
    And these are the names of the other headers
      | header           | for         |
      | attempt-id       | request_id  |
      | deadline-ms      | deadline_ms |
      | token-count      | tokens      |
      | prompt-prefix    | parts       |
      | server-seal      | seal        |
      | tenant           | account     |
      | expect-instance  | lifetime    |
      | not-executed     | declined    |
      | request-priority | priority    |
      | last-event-id    | last_event  |
      | server-limit     | limit       |

  Scenario: The calls to the store
    Given a router that follows the users' store
    Then a key is read, written with its version, and a write with another version is refused
    And a list of several pages is read completely
    And a list that may be stale is requested with "allow_stale"
    And a write whose response is lost is reported as unconfirmed
    And a write that the store refuses is reported as not applied

  Scenario: An older version never replaces a newer one
    Given a router that follows the users' store
    When version 5 is configured
    And version 4 is configured
    Then version 5 is in force

  Scenario: A change is in force within two seconds although the watch receives nothing
    The connection of the watch is half-open: nothing arrives, and no error is reported.
    Given a router that follows the users' store
    When the watches stop receiving
    And version 5 is configured
    And 2 seconds pass
    Then version 5 is in force

  Scenario: A change is applied although the store dropped its history
    Given a router that follows the users' store
    When version 5 is configured and the store drops its history at once
    And 2 seconds pass
    Then version 5 is in force

  Scenario: A server that drains or disappears gets no more requests
    Given a router that follows the users' store
    When server one enters
    And server two enters
    And server one starts draining
    And the entry of server two is deleted
    Then 0 servers take requests

  Scenario Outline: A server with an invalid entry gets no requests
    Another writer created the entry or overwrote that of a server.  If the router used it as it
    is, it would send requests to no server, or stop updating its list of servers.
    Given a router that follows the users' store
    When server one enters
    And server two enters
    And the entry of server two is written with <field> as <text>
    Then 1 servers take requests
    When server two enters
    Then 2 servers take requests

    Examples:
      | field   | text          |
      | slots   | "many"        |
      | slots   | 0             |
      | address | "nowhere"     |
      | address | 7             |
      | state   | "resting"     |
      | service | null          |
      | born    | "yesterday"   |

  Scenario: A server that restarts under the same name is a new incarnation
    The entry of the earlier incarnation may arrive late and must not replace the new one.
    Given a router that follows the users' store
    When the entry of server one is written with born as 2000
    And the entry of server one is written with born as 1000
    Then the incarnation of server one that started at 2000 takes requests

  Scenario: A server replaces an earlier one that had the same address
    After a power loss all servers come back under new names at their old addresses, and the old
    entries stay for seconds.  Requests to the old names go there first and are turned away.
    Given a router that follows the users' store
    When server one enters
    And server two enters at the address of server one
    Then only server two takes requests

  Scenario: Servers whose entries expire during a store outage stay in use
    The entries of all servers expire while the store is down, and are written again within two
    seconds of its return.  If the router used the empty list, it would refuse every request
    until then.
    Given a router that follows the users' store
    When server one enters
    And server two enters
    And the store is down for 4 seconds and the entries expire
    Then 2 servers take requests
    When server one enters
    And 3 seconds pass
    Then 1 servers take requests

  Scenario: A large response is read as long as data keeps arriving
    A router has a link of 5 Mbit/s, and the configuration has 2,000 routes.  With a single time
    limit for the whole response it never gets the configuration and refuses every request from
    its start on.
    When a list takes 2 seconds to arrive, and responses must begin within half a second
    Then the list is read completely

  Scenario: A response that stops arriving counts as lost
    When a list stops arriving after 1 second, and responses must begin within half a second
    Then the list counts as lost after 1.6 seconds at most

  Scenario: Each name that the adapter uses occurs in a test
    Three faults came from names that nothing read or that were read under another name.
    Then each of its names occurs in a test
