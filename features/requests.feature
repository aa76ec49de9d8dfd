Feature: The request life cycle
  A request is claimed, run and billed once, and its caller gets a correct answer or refusal,
  also when the caller retries, disconnects, or uses a key twice.

  Scenario Outline: A request without a fault
    Given requests: a fleet in two data centres
    When requests: <play>
    Then requests: ana has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

    Examples:
      | play                                         |
      | one request is sent                          |
      | one request for an unstreamed answer is sent |

  Scenario: The end of a streamed answer
    The caller gets "[DONE]" only after the request is settled: otherwise it could have a
    whole answer of which no second instance knows.
    Given requests: a fleet in two data centres
    When requests: the end of a streamed answer is passed to the caller
    Then requests: the note "bills before the end" says 1

  Scenario Outline: A retry while the first attempt is being answered
    The caller gets the same whole answer twice.
    The retry arrives in another data centre. The holder there learns of the run by a retry
    query, and the router attaches to the run and reads it from its first byte.
    Given requests: a fleet in two data centres
    When requests: <play>
    Then requests: ana has the whole answer of server A
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

    Examples:
      | play                                                                     |
      | the caller retries while the first attempt is being answered             |
      | the caller retries in a data centre that the configuration does not name |

  Scenario: A retry after the answer is complete
    The caller gets the same answer again, at no further cost.
    The sidecar keeps answers for a while, and the record names the sidecar.
    Given requests: a fleet in two data centres
    When requests: the caller retries after the answer is complete
    Then requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: Two calls of one request at the same time
    Both callers get the same answer.
    Both routers claim at the same holder. The second claim waits for the first and attaches;
    the first router to dispatch runs the request.
    Given requests: a fleet in two data centres
    When requests: two calls of one request arrive at once at two routers
    Then requests: ana has the whole answer of server A
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario Outline: The same key with another body
    The second caller gets a conflict (409) which says that its request did not run.
    All data centres were queried and know the key only with the first body.
    Given requests: a fleet in two data centres
    When requests: <play>
    Then requests: ana has the whole answer of server A
    And requests: rui is refused with idempotency_conflict and not_run true
    And requests: backend servers ran it 1 times

    Examples:
      | play                                                           |
      | the same key is sent with another body                         |
      | the same key is sent with another body to the same data centre |

  Scenario: A caller that cannot retry disconnects
    Nobody can fetch the answer, as the router generated the request id.
    The run is cancelled at the engine; the four tokens generated are billed, once.
    Given requests: a fleet in two data centres
    When requests: a caller that cannot retry disconnects
    Then requests: the run on server A was cancelled
    And requests: it is billed 4 tokens once

  Scenario Outline: A caller that cannot retry disconnects while messages are lost
    The run goes on for nobody until the deadline if the only message that would end it is lost.
    Given requests: a fleet in two data centres
    When requests: a caller that cannot retry disconnects while its <peer> is silent
    Then requests: the run on server A was cancelled

    Examples:
      | peer    |
      | sidecar |
      | holder  |

  Scenario: A caller that can retry disconnects and retries
    The caller's connection breaks; the retry gets the whole answer.
    A request with an id of the caller isn't cancelled at once, and never while another call
    is attached.
    Given requests: a fleet in two data centres
    When requests: a caller that can retry disconnects and retries
    Then requests: ana again has the whole answer of server A
    And requests: no run was cancelled
    And requests: it is billed 8 tokens once

  Scenario: The caller of a request that may not be repeated disconnects
    The request runs to its end, since running only half of it might do harm.
    Given requests: a fleet in two data centres
    When requests: the caller of a request that may not be repeated disconnects
    Then requests: no run was cancelled
    And requests: it is billed 8 tokens once

  Scenario: The deadline of the caller passes
    The caller gets "deadline passed" and that the request ran.
    The START carries the deadline; the sidecar then stops the engine and bills the three
    tokens that were generated.
    Given requests: a fleet in two data centres
    When requests: the deadline of the caller passes during the answer
    Then requests: ana is refused with deadline_passed and not_run false
    And requests: the run on server A was cancelled
    And requests: it is billed 3 tokens once

  Scenario: The budget is spent
    The caller gets the holder's refusal; no server received the request.
    Given requests: a fleet in two data centres
    When requests: the budget is spent
    Then requests: ana is refused with budget_spent and not_run true
    And requests: backend servers ran it 0 times
    And requests: it is not billed and 0 tokens stay reserved

  Scenario: No holder can be reached
    The caller gets "no holder" and that nothing ran: no claim was ever delivered.
    Given requests: a fleet in two data centres
    When requests: no holder can be reached
    Then requests: ana is refused with no_holder and not_run true
    And requests: backend servers ran it 0 times

  Scenario: Every sidecar refuses, and the caller retries later
    The caller gets "not run", and the retry with the same key is run.
    Refused attempts are withdrawn at the holder and the reservation is released, so that the
    key can be claimed again; the attempt number continues.
    Given requests: a fleet in two data centres
    When requests: every sidecar refuses to start the run, and later accepts it
    Then requests: ana is refused with no_server_took_it and not_run true
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: A call is refused while another call of the same request waits
    The first caller is refused because no server is free. It gets "unknown" and not "not
    run", as its own retry is attached to the claim, takes it over and is answered.
    Given requests: a fleet in two data centres
    When requests: no backend server is free for a request whose retry is waiting too
    Then requests: ana is refused with no_capacity and not_run unknown
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: A claim waits for the budget
    The caller gets its answer, five seconds late.
    The holder replies "waiting" while the claim is in the budget's queue, so that the wait
    isn't mistaken for a silent connection.
    Given requests: a fleet in two data centres
    When requests: a claim waits for the budget for longer than the timeout of one call
    Then requests: ana has the whole answer of server A
    And requests: it is billed in porto-a
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: A caller disconnects while its claim waits
    The tokens are released as soon as they are granted, and not only after the deadline of
    the request.
    Given requests: a fleet in two data centres
    When requests: a caller disconnects while its claim waits for the budget
    Then requests: backend servers ran it 0 times
    And requests: it is not billed and 0 tokens stay reserved

  Scenario: A retry when the answer is no longer kept
    The caller gets "gone" and that the request ran; it does not run a second time.
    Given requests: a fleet in two data centres
    When requests: a retry arrives after the sidecar has dropped the answer
    Then requests: ana has the whole answer of server A
    And requests: ana again is refused with answer_gone and not_run false
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: The only sidecar is temporarily full
    The caller gets its answer: a temporary refusal is retried before the caller gets it.
    Given requests: a fleet in two data centres
    When requests: the only sidecar is temporarily full
    Then requests: ana has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once
