Feature: Links between instances over real sockets
  A small smoke test on loopback; it waits on events, never on time.

  Scenario: links sockets: Mutual TLS with the fleet key
    Both ends show certificates of the fleet's authority; the call is answered.
    Given links sockets: an instance with TLS and a fleet key
    When links sockets: a peer with a certificate of the fleet calls
    Then links sockets: the call is answered

  Scenario: links sockets: A certificate of another authority
    The caller sees that there is no connection; its message is never sent.
    Given links sockets: an instance with TLS and a fleet key
    When links sockets: a peer with a certificate of another authority calls
    Then links sockets: the call was not sent and the handler did not run

  Scenario: links sockets: A certificate for another address
    An instance's certificate does not serve to stand in for another one: the caller
    finds that it names another IP number, and sends nothing.
    Given links sockets: an instance with a certificate for another address
    When links sockets: a peer with a certificate of the fleet calls
    Then links sockets: the call was not sent and the handler did not run

  Scenario: links sockets: A caller without TLS
    The listener takes TLS only.
    Given links sockets: an instance with TLS and a fleet key
    When links sockets: a peer without TLS calls
    Then links sockets: the call was not sent and the handler did not run

  Scenario Outline: links sockets: The fleet key changes while the fleet runs
    Calls pass between instances before and after each of three replacements; without the
    second key they are refused.
    Given links sockets: an instance with key <own> that also takes <also>
    When links sockets: a peer with key <sent> calls
    Then links sockets: the call is <outcome>

    Examples:
      | own | also    | sent    | outcome  |
      | old | new     | old     | answered |
      | old | new     | new     | answered |
      | new | old     | old     | answered |
      | new | nothing | old     | refused  |
      | new | nothing | nothing | refused  |

  Scenario Outline: links sockets: Listening in the open
    A process that lacks TLS or the fleet key refuses to start on anything but loopback.
    Then links sockets: listening on <address> with <given> is <outcome>

    Examples:
      | address      | given           | outcome |
      | 0.0.0.0:0    | nothing         | refused |
      | 0.0.0.0:0    | a fleet key     | refused |
      | 0.0.0.0:0    | TLS             | refused |
      | 0.0.0.0:0    | TLS and the key | allowed |
      | 127.0.0.1:0  | nothing         | allowed |
      | localhost:0  | nothing         | refused |

  Scenario: links sockets: A peer that accepts and never answers
    The caller sees "not sent".  A real socket accepts the connection and reads nothing:
    the kernel answers for a process that hangs, and only the greeting tells.
    Given links sockets: a listener that accepts and never answers
    When links sockets: a peer that waits 0.1 seconds for a connection calls
    Then links sockets: the call was not sent and the handler did not run

  Scenario: links sockets: Small messages are not held back
    asyncio turns Nagle's algorithm off only for sockets that name their protocol; with it
    on, each reply waited 40 ms for the other end's acknowledgement.
    Given links sockets: an instance without TLS
    When links sockets: a peer without TLS calls
    Then links sockets: the call is answered
    And links sockets: both ends have Nagle's algorithm off
