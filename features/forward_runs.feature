Feature: Forwarded requests
  What the caller of a forwarded request is told, and how often the request runs.

  Scenario Outline: A request that may not be repeated
    It is sent and something goes wrong.  It may have run, so it is never sent again, and its
    caller gets no status that promises it did not run: the caller would run it twice.
    Given a <kind> route with 3 attempts, whose servers <script>
    When a request is forwarded
    Then the caller got <status>
    And the request ran 1 times
    And it was sent 1 times

    Examples:
      | kind     | script   | status |
      | unsafe   | lost     | 502    |
      | unsafe   | breaks   | 502    |
      | unsafe   | promises | 502    |
      | unsafe   | strays   | 502    |
      | unsafe   | unsealed | 502    |
      | unsafe   | fails    | 500    |
      | unsafe   | hangs    | 504    |
      | streamed | lost     | 502    |
      | streamed | hangs    | 504    |
      | unsafe   | answers  | 200    |

  Scenario Outline: A request that did not run goes on elsewhere
    The first servers refuse the connection, have no room or are another server by now.  Each
    says for sure that it did not run there, so that even what may run once goes on.
    Given a <kind> route with 1 attempts, whose servers <script>
    When a request is forwarded
    Then the caller got 200
    And the request ran 1 times
    And it was sent <sent> times

    Examples:
      | kind     | script                    | sent |
      | unsafe   | unreached,answers         | 2    |
      | unsafe   | declines,answers          | 2    |
      | unsafe   | moved,answers             | 2    |
      | streamed | unreached,unreached,answers | 3  |

  Scenario: A request that no server took is told so, and when to come back
    Given a unsafe route with 1 attempts, whose servers declines
    When a request is forwarded
    Then the caller got 503
    And the request ran 0 times
    And the caller is told when to come back
    And nothing was spent

  Scenario Outline: A safe request is repeated as often as its route allows
    Given a safe route with <attempts> attempts, whose servers <script>
    When a request is forwarded
    Then the caller got <status>
    And the request ran <ran> times

    Examples:
      | attempts | script        | status | ran |
      | 2        | fails,answers | 200    | 2   |
      | 2        | lost,answers  | 200    | 2   |
      | 2        | fails,fails   | 500    | 2   |
      | 1        | fails,answers | 500    | 1   |
      | 2        | strays,answers | 200   | 2   |

  Scenario Outline: A stream that breaks midway
    A server dies after two events.  A stream that may be resumed goes on at another server
    from the event that the caller has; another one ends without its end, so that the caller
    does not take it for whole.
    Given a <kind> route with 3 attempts, whose servers breaks,answers
    When a request is forwarded
    Then the caller got the events up to <last>, each once
    And the answer was <ended>
    And the account spent <spent> tokens

    Examples:
      | kind      | last | ended | spent |
      | resumable | 5    | whole | 1030  |
      | streamed  | 1    | cut   | 1010  |

  Scenario: What a caller does not wait for is not paid
    The caller leaves 50 ms into a stream.  What it got is spent, the rest is free again.
    Given a streamed route with 1 attempts, whose servers answers
    When a request is forwarded whose caller leaves
    Then nothing is set aside
    And the account spent at most 1030 tokens

  Scenario: A stream of a service that does not say how much an event holds
    Counted as nothing, such streams would overdraw the account.
    Given a streamed route with 1 attempts, whose servers answers
    And the service does not say how many tokens an event holds
    When a request is forwarded
    Then the account spent 1100 tokens

  Scenario: A caller that still reads when the time is over
    The whole answer is on its way to a caller that reads slowly.  A second answer behind the
    first would be taken for the answer to another request.
    Given a safe route with 1 attempts, whose servers answers
    And its caller does not read
    When a request is forwarded
    Then the caller got 200, and nothing behind it

  Scenario: A request that hangs gets its answer when its route's time is over
    Given a unsafe route with 1 attempts, whose servers hangs
    When a request is forwarded
    Then the answer came after 4000 ms
