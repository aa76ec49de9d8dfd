Feature: Odd values of other writers
  A value that can be decoded and makes no sense costs itself: an impossible address, a number that
  no message carries, a name that no header carries.  The other values hold.

  Scenario Outline: No odd entry ends a router or stops its lists
    Failure: one instance whose address was no address ended all router processes again and again.
    Failure: requests failed for a server whose key, which each request names, no header can carry.
    When two router processes run beside odd <entries>, and a server enters later
    Then both run, no background task failed, and 10 requests reach that server

    Examples:
      | entries   |
      | servers   |
      | names     |
      | instances |

  Scenario Outline: An impossible address fails like one that nobody listens at
    Failure: a port out of range raises OverflowError, a bad host UnicodeError, which no caller expects.
    When <client> connects to each impossible address
    Then each attempt ends with one of: <errors>

    Examples:
      | client                        | errors                   |
      | the client of other instances | PeerUnreachable          |
      | the client of backend servers | NeverSent, ServerRefused |

  Scenario Outline: No number in any field of a document breaks what uses it
    Each numeric field of the document's type is set to negative, huge, fractional and infinite ones.
    Failure: <failure>.
    Then no number in a <document> breaks what uses it

    Examples:
      | document                 | failure                                                             |
      | entry of a server        | none so far                                                         |
      | load report of an engine | none so far                                                         |
      | record of crashes        | a count of 2^32 raised ValueError in all reports to other routers   |
      | record of grants         | a negative grant let an allocator grant more than the total         |
      | configuration            | a deadline without end refused all requests of a route with 400     |

  Scenario: An entry of a service that is not declared replaces no server
    Failure: a sound server got no requests while such an entry, written later, had its address.
    Given a router that follows the users' store
    When version 5 is configured
    And server one enters
    And an entry of a service that is not declared has the address of server one
    Then server one takes requests of its service

  Scenario: Many odd entries delay no list and are logged once each
    Failure: with more odd keys than were remembered, each list logged all of them again.
    Given a router that follows the users' store
    When 5 servers enter among 500 odd entries, in random order
    And the store drops its history 3 times
    Then all 5 servers take requests, and 500 lines name one odd entry each
    When server one enters and the list is read once more
    Then 6 servers take requests
