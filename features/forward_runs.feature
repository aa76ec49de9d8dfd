Feature: Forwarded requests
  What answer the caller of a forwarded request gets, and how often the request runs.

  Scenario Outline: A request that may not be repeated
    It is sent and the attempt fails.  It may have run, so it is not retried, and its caller gets no
    status that means that it did not run: otherwise the caller would run it twice.
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

  Scenario Outline: A request that did not run is sent to another server
    The first servers refuse the connection, decline, or are another server at the same address.
    Each proves that the request did not run there, so that even an unrepeatable one is retried.
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

  Scenario: A request that no server accepted is refused as not run, with a time to retry
    Given a unsafe route with 1 attempts, whose servers declines
    When a request is forwarded
    Then the caller got 503
    And the request ran 0 times
    And the caller gets a time to retry
    And nothing was spent

  Scenario Outline: A safe request is retried as often as its route allows
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

  Scenario Outline: Each sending beyond the first is paid for from the retry budget
    Servers count what arrives, whatever they answer, also the rest of a stream. What did not arrive
    costs nothing, nor does a retry that was granted and not sent.
    Given a <kind> route with 3 attempts, whose servers <script>
    When a request is forwarded
    Then it was sent <sent> times
    And <paid> retries were paid for

    Examples:
      | kind      | script                        | sent | paid |
      | unsafe    | declines,answers              | 2    | 1    |
      | unsafe    | moved,answers                 | 2    | 1    |
      | unsafe    | unreached,answers             | 2    | 0    |
      | safe      | fails,lost,answers            | 3    | 2    |
      | safe      | fails,unreached,answers       | 3    | 1    |
      | safe      | fails,unreached,unreached     | 3    | 0    |
      | resumable | breaks,answers                | 2    | 1    |

  Scenario: A request is not retried when the budget is used up
    Given a unsafe route with 1 attempts, whose servers declines,answers
    And its service has no retries left
    When a request is forwarded
    Then the caller got 503
    And it was sent 1 times
    And the caller gets a time to retry

  Scenario Outline: A stream that breaks midway
    A server crashes after two events.  A resumable stream continues at another server after the
    last event that the caller has; any other is truncated, so that the caller does not take it for
    complete.
    Given a <kind> route with 3 attempts, whose servers breaks,answers
    When a request is forwarded
    Then the caller got the events up to <last>, each once
    And the answer was <ended>
    And the account spent <spent> tokens

    Examples:
      | kind      | last | ended     | spent |
      | resumable | 5    | complete  | 1030  |
      | streamed  | 1    | truncated | 1010  |

  Scenario: Events after the caller disconnected are not charged
    The caller disconnects 50 ms into a stream.  What it got is spent, the rest is released.
    Given a streamed route with 1 attempts, whose servers answers
    When a request is forwarded whose caller disconnects
    Then nothing is reserved
    And the account spent at most 1030 tokens

  Scenario: A stream of a service that does not declare the tokens of an event
    If such streams counted as 0 tokens, they would overdraw the account.
    Given a streamed route with 1 attempts, whose servers answers
    And the service does not declare the tokens of an event
    When a request is forwarded
    Then the account spent 1100 tokens

  Scenario: A caller that still reads when the deadline passes
    The complete answer is being sent to a caller that reads slowly.  A second answer after the
    first would be taken for the answer to another request.
    Given a safe route with 1 attempts, whose servers answers
    And its caller does not read
    When a request is forwarded
    Then the caller got 200, and no second answer

  Scenario: A request that hangs gets its answer when its route's time-out is reached
    Given a unsafe route with 1 attempts, whose servers hangs
    When a request is forwarded
    Then the answer came after 4000 ms

  Scenario Outline: Nothing counts that a response to another request says
    Failure: a server's repeated refusal was taken for the answer to the next request, which was
    told as not run, or sent again, and ran.
    Given a unsafe route with 2 attempts, whose servers <servers>
    When a request is forwarded
    Then the caller got 502
    And the request ran 1 times
    And it was sent 1 times
    And 3 servers still take requests, without a wait or a limit

    Examples:
      | servers         |
      | strays          |
      | strays_declined |
      | strays_moved    |

  Scenario Outline: The log tells what a refusal rests on
    Failure: of requests that were told as not run and had run, the log could not tell whether the
    router refused them before any sending, after it, or relayed a server's response.
    Given a unsafe route with 1 attempts, whose servers <servers>
    When a request is forwarded
    Then the log has <event> once, and of the others none
    And the log names <proofs> as the proof of an attempt

    Examples:
      | servers   | event                         | proofs                                                |
      | unreached | forward_refused               | nothing                                               |
      | declines  | forward_refused_after_sending | the server refused it                                 |
      | moved     | forward_refused_after_sending | another server at the address refused it              |
      | readdressed | forward_refused_after_sending | another server at the address refused it            |
      | closed    | forward_refused_after_sending | the connection closed before the request was written |

  Scenario Outline: A status that says that a request did not run needs proof
    Failure: a server's own 429 or 408, given after it had run the request, was relayed, and its
    statements were believed in part where they contradicted each other.  Callers sent the
    request again, and it ran twice.
    Given a <kind> route with 2 attempts, whose servers <servers>,answers
    When a request is forwarded
    Then the caller got 502
    And the request ran 1 times
    And it was sent 1 times
    And the account spent 1000 tokens
    And the log has forward_unproven_refusal once

    Examples:
      | kind     | servers            |
      | unsafe   | limited            |
      | unsafe   | late               |
      | unsafe   | promises           |
      | unsafe   | relocated          |
      | unsafe   | relocated_unsealed |
      | unsafe   | readdressed_sealed |
      | unsafe   | declined_sealed    |
      | unsafe   | declined_success   |
      | unsafe   | declined_unnamed   |
      | streamed | limited            |
      | streamed | declined_success   |

  Scenario Outline: A request that may be repeated is sent again after an unproven refusal
    Given a safe route with 2 attempts, whose servers <servers>,answers
    When a request is forwarded
    Then the caller got 200
    And the request ran 2 times

    Examples:
      | servers            |
      | limited            |
      | late               |
      | stalled            |
      | relocated_unsealed |
      | declined_sealed    |

  Scenario Outline: A deadline counts as a crash only against a server that may run the request
    Failure: a server that had not got the request, or had answered it, was noted as crashed under it.
    Given a safe route with 1 attempts, whose servers <servers>
    When a request is forwarded
    And the entries of all servers are removed
    Then <crashes> crashes are noted

    Examples:
      | servers           | crashes |
      | hangs             | 1       |
      | unconnected       | 0       |
      | relocated_stalled | 0       |

  Scenario Outline: An attempt that ran is not taken back by a later one that did not
    Failure: the attempt that was counted last was taken back, whichever had failed.  A request that
    ran was told as not run, its account was billed nothing, and it was sent more often than
    allowed.
    Given a <kind> route with <attempts> attempts, whose servers <servers>
    When a request is forwarded
    Then the request ran <ran> times
    And the account spent <spent> tokens
    And the caller is not told that it did not run

    Examples:
      | kind      | attempts | servers                | ran | spent |
      | safe      | 2        | lost,unreached         | 1   | 1000  |
      | safe      | 2        | lost,declines,unreached | 1  | 1000  |
      | safe      | 2        | strays,unreached       | 1   | 1000  |
      | resumable | 2        | breaks,unreached       | 1   | 1010  |
      | safe      | 2        | lost,unreached,answers | 2   | 1000  |

  Scenario Outline: A stream that has begun, and a server that answers its rest with an error
    Failure: the error was sent as a second head into the stream that the caller read, if its status
    was below 500.
    Given a resumable route with 2 attempts, whose servers breaks,<servers>
    When a request is forwarded
    Then the caller got the events up to 1, each once
    And the answer was truncated

    Examples:
      | servers |
      | invalid |
      | limited |
      | fails   |

  Scenario: Whatever servers do, in any order
    Every order of up to three behaviours of servers, on each kind of route.  A caller is told "not
    run" only if no server ran its request, no request runs more often than its route allows, and
    its account pays for a run.
    Then all orders of behaviours keep the promise "not run"
