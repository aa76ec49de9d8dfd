Feature: The adapter of the users' platform
  It translates the platform's documents, store and headers into the product's own types.

  Scenario: A configuration
    Then the example configuration is read into routes, services, accounts and limits

  Scenario Outline: A document that is no configuration changes nothing
    Given a router that follows the users' store
    When the operator's document is <text>
    And version 3 is configured
    Then version 3 is in force

    Examples:
      | text          |
      | {             |
      | {"version":2} |
      | []            |

  Scenario: Settings
    Then the settings file becomes the product's settings
    And a settings file without "bounds" is refused and named

  Scenario: The headers of workers
    A word of theirs under another name than the router reads is never heard.
    Then a worker says "server-leaving" and "retry-after", and no client says the first for it
    And these are the names of its other headers
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

  Scenario: The store's calls
    Given a router that follows the users' store
    Then a key is read, written under its version, and refused under another
    And a list of many pages is read whole
    And a list that may be seconds old is asked for with "allow_stale"
    And a lost answer to a write is told as unsure
    And a write that the store refuses is told as not done

  Scenario: A version never goes back
    Given a router that follows the users' store
    When version 5 is configured
    And version 4 is configured
    Then version 5 is in force

  Scenario: A change is in force within two seconds though the watch fell silent
    The connection of the watch loses track of its other end: no error ever comes.
    Given a router that follows the users' store
    When the watches fall silent
    And version 5 is configured
    And 2 seconds pass
    Then version 5 is in force

  Scenario: A change made while the history is dropped
    Given a router that follows the users' store
    When version 5 is configured and the history is dropped at once
    And 2 seconds pass
    Then version 5 is in force

  Scenario: A server that leaves gets nothing more
    Given a router that follows the users' store
    When server one enters
    And server two enters
    And server one drains
    And server two vanishes
    Then 0 servers take requests

  Scenario Outline: An entry that can't be read names no server to use
    Another writer left it, or wrote over the entry of a server.  Taken as it is, a request would
    be sent nowhere, or the router's view of all servers would end there.
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

  Scenario: A server that starts again under its name is another life
    Its entry of before may still come in late, and must not take the place of the new one.
    Given a router that follows the users' store
    When the entry of server one is written with born as 2000
    And the entry of server one is written with born as 1000
    Then the life of server one that began at 2000 takes requests

  Scenario: A server that has the address of an earlier one takes its place
    All servers lost power and came back with new names at their addresses; the entries of before
    stayed for seconds.  Requests went to these first, and were turned away.
    Given a router that follows the users' store
    When server one enters
    And server two enters at the address of server one
    Then server two alone takes requests

  Scenario: Servers whose entries lapsed with an outage stay in use
    The store was down, and the entries of all servers lapsed with it.  They are back within
    two seconds of its return; had the router believed the empty list, it would have refused
    every request till then.
    Given a router that follows the users' store
    When server one enters
    And server two enters
    And the store goes down for 4 seconds while the entries lapse
    Then 2 servers take requests
    When server one enters
    And 3 seconds pass
    Then 1 servers take requests

  Scenario: A large answer is read for as long as it arrives
    A router has a link of 5 Mbit/s, and the configuration has 2,000 routes.  With one time limit
    over the whole answer it never got it, and refused every request from its start on.
    When a list takes 2 seconds to arrive, and answers have to begin within half a second
    Then it is read whole

  Scenario: An answer that stops coming is none
    When a list stops coming after 1 second, and answers have to begin within half a second
    Then it counts as lost after 1.6 seconds at most

  Scenario: Each name that the adapter knows has a test
    Words that nobody read, or that were read under another name, broke rules three times.
    Then each of its names stands in a test
