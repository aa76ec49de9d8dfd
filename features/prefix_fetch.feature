Feature: Engines fetch shared parts of prompts from each other
  The engine that gets a request is told which other engine has the shared part cached, and copies
  it instead of processing it again.

  Scenario Outline: Fetched parts are not processed again
    Until the reports arrive, 0.5 s later, a router does not know that another one has sent the first
    request about a subject, and has the part processed a second time.
    When 11 routers carry <factor> times the usual load on 25 engines, with and without fetches
    Then of the shared tokens that the routers know to be cached, at most a quarter is processed again
    And of all shared tokens, at most half is processed again
    And at most one in 1000 requests more is late

    Examples:
      | factor |
      | 1      |
      | 1.5    |
      | 2      |
      | 3      |

  Scenario: At most a quarter of all shared tokens is processed again
    The stated target.  Failure: until reports arrive, routers process a part that another one has sent.
    When 11 routers carry 2 times the usual load on 25 engines, with and without fetches
    Then of all shared tokens, at most a quarter is processed again

  Scenario Outline: The engine that is named
    Engine two gets the request.  Engines one and three are in its data centre, far is in another.
    Named without the part, an engine is asked for nothing; named when it is gone, it delays the
    prompt until the attempt to connect fails.
    Given a router whose engines fetch parts as <setting>
    When the engines do this: <news>
    Then the request names "<source>"

    Examples: the last one that has it, of the same data centre if there is one
      | setting  | news                            | source |
      | declared | one sends 5                     | one    |
      | declared | one sends 5, three sends 2      | three  |
      | declared | one sends 5, far sends 2        | one    |
      | declared | one sends 5, one upgraded       |        |
      | declared | one sends 2, three sends 5, one upgraded | three |
      | declared | far sends 2                     | far    |
      | declared | one begins                      | one    |
      | off      | one sends 5                     |        |

    Examples: it is not cached there, or not yet, or not worth it
      | setting  | news                            | source |
      | declared | one sends 21                    |        |
      | declared | one sends 0.05                  |        |
      | declared | two sends 5, one sends 5        |        |
      | declared | 200 size, one sends 5           |        |

    Examples: the engine can't be asked, or has lost it
      | setting  | news                            | source |
      | declared | one sends 5, one leaves         |        |
      | declared | one sends 5, one unreachable    |        |
      | declared | one sends 5, one fails          |        |
      | declared | one sends 5, one failed         |        |
      | declared | far sends 2, b evacuated        |        |
      | declared | one sends 5, one restarts       |        |
      | declared | one restarts, one reported      |        |
      | declared | one sends 5, one ends           |        |

  Scenario: Where a fetch takes longer than processing the part, none is made
    Given a router whose engines fetch parts as declared
    When the links of the engines have 10000 Mbit/s
    And the engines do this: one sends 5
    Then the request names ""

  Scenario: An engine gets the address to fetch from in the platform's header
    Callers must not set it: their requests would read another caller's prompt from any engine.
    Then an engine gets "kv-fetch" with the address of the source, and without a source it does not
    And no caller can set "kv-fetch"
    And "token_kv_bytes" and "link_mbps" of an engine are read
    And fetches are on where the configuration declares "token_kv_bytes" and "link_mbps", and else off
