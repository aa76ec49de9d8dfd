Feature: Requests under faults
  What callers get when routers, sidecars, holders and connections fail during a request.

  Scenario: A router dies during a streamed answer
    The caller's connection breaks after four tokens; the retry, at a router of the other
    data centre, gets the whole answer from its first token.
    The run continues at the sidecar; the holder of the retry learns of it by a retry query.
    Given requests: a fleet in two data centres
    When requests: a router dies during the answer and the caller retries in another data centre
    Then requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario Outline: A router dies before the run starts
    The caller's connection breaks; the retry gets the whole answer.
    The holder has the claim, or the dispatch, and the router of the retry continues from
    there: a START is idempotent, and a claim that isn't dispatched is taken over.
    Given requests: a fleet in two data centres
    When requests: <play>
    Then requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

    Examples:
      | play                                                  |
      | a router dies between dispatch and start              |
      | a router dies after its claim and before the dispatch |

  Scenario: A sidecar dies during an unstreamed answer
    The caller gets one whole answer of the other server, later.
    Nothing was sent to the caller yet and the request may be repeated: it is run again under
    the same reservation, and the second attempt is billed.
    Given requests: a fleet in two data centres
    When requests: the sidecar dies during an unstreamed answer
    Then requests: ana has the whole answer of server B
    And requests: backend servers ran it 2 times
    And requests: it is billed 8 tokens once

  Scenario: A sidecar dies during a streamed answer
    The caller gets four tokens and then a correct error, never a mix of two runs.
    The number of tokens generated is not known, so the worst case stays reserved until the
    sidecar reports it or the stored deadline for reports passes.
    Given requests: a fleet in two data centres
    When requests: the sidecar dies during a streamed answer
    Then requests: ana is refused with answer_broken and not_run false
    And requests: ana got "A0 A1 A2 A3" first
    And requests: it is not billed and 20 tokens stay reserved

  Scenario: A sidecar dies during a request that may not be repeated
    The caller gets "unknown", and so does its retry.
    No instance knows whether the server finished, so the request is not run again.
    Given requests: a fleet in two data centres
    When requests: the sidecar dies during a request that may not be repeated
    Then requests: ana is refused with outcome_unknown and not_run unknown
    And requests: ana again is refused with outcome_unknown and not_run unknown
    And requests: backend servers ran it 1 times
    And requests: it is not billed and 20 tokens stay reserved

  Scenario: An attempt that was given up answers late
    The caller gets "no server took it", and that the request may have run; its retry gets the
    answer. The first attempt was given up while its sidecar was unreachable, and the others
    were refused. No other attempt is running when the first one reports, so its answer is
    billed; the claim isn't closed as "did not run".
    Given requests: a fleet in two data centres
    When requests: an attempt is given up, the next is refused, and the first answers late
    Then requests: ana is refused with no_server_took_it and not_run unknown
    And requests: the note "billed before the retry" says 1
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: An attempt that was given up never answers
    The caller gets "no server took it", and that the request may have run.
    The later attempts were refused and withdrawn, so that none is dispatched when the
    deadline passes. The first one may still have run, and is billed as unknown.
    Given requests: a fleet in two data centres
    When requests: an attempt is given up and never answers, and the next is refused
    Then requests: ana is refused with no_server_took_it and not_run unknown
    And requests: it is billed 20 tokens once

  Scenario: A holder dies during a provisional run
    The first caller gets its answer; the connection of the second one breaks, as the holder
    was its router. The provisional run continues, and its sidecar reports it to the
    successor, which can't know that it is provisional. The successor queries the other data
    centre and bills nothing.
    Given requests: a fleet in two data centres
    When requests: a holder dies during a provisional run of a request that ran in another data centre
    Then requests: ana has the whole answer of server A
    And requests: backend servers ran it 2 times
    And requests: it is billed 8 tokens once
    And requests: it is billed in porto-a

  Scenario: A run that was given up continues
    The caller gets "unknown"; its retry, with the sidecar reachable again, the whole answer.
    The holder doesn't stop the run, as it may not be repeated and its deadline hasn't
    passed. The retry starts nothing and only follows the run.
    Given requests: a fleet in two data centres
    When requests: an unreachable sidecar is given up, continues its run, and is reachable again
    Then requests: ana is refused with outcome_unknown and not_run unknown
    And requests: ana again has the whole answer of server A
    And requests: no run was cancelled
    And requests: it is billed 8 tokens once

  Scenario: A sidecar is restarted and loses its run
    The caller gets "unknown". No instance can report the run any more, so the worst case is
    billed without waiting for the stored deadline.
    Given requests: a fleet in two data centres
    When requests: a sidecar is restarted during a request that may not be repeated
    Then requests: ana is refused with outcome_unknown and not_run unknown
    And requests: it is billed 20 tokens once

  Scenario: A sidecar restarts between a START and its retry
    The caller gets "unknown".
    The START was carried out and its reply lost; the sidecar restarts at the same address and
    receives the START again. It has lost the run, but the message names the chosen
    incarnation, so it doesn't run the request a second time.
    Given requests: a fleet in two data centres
    When requests: the sidecar restarts between a START and its retry
    Then requests: ana is refused with outcome_unknown and not_run unknown
    And requests: backend servers ran it 1 times

  Scenario: An engine breaks off before any output was passed on
    The caller gets one whole answer, of the other server.
    Given requests: a fleet in two data centres
    When requests: the engine breaks off before any output was passed on
    Then requests: ana has the whole answer of server B
    And requests: backend servers ran it 2 times
    And requests: it is billed 8 tokens once

  Scenario: An engine breaks off during a request that may not be repeated
    The caller gets "unknown": whether the engine finished isn't known.
    The sidecar still runs and reports the three tokens that it received; these are billed.
    Given requests: a fleet in two data centres
    When requests: the engine breaks off during a request that may not be repeated
    Then requests: ana is refused with outcome_unknown and not_run unknown
    And requests: backend servers ran it 1 times
    And requests: it is billed 3 tokens once

  Scenario: An engine is unreachable for a request that may not be repeated
    The caller gets the whole answer of the other server.
    The request may be dispatched again only because the first sidecar replies that its
    engine never received it.
    Given requests: a fleet in two data centres
    When requests: the engine of the first server is unreachable
    Then requests: ana has the whole answer of server B
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: A START is refused while the same START of another router is in transit
    Both callers get the same answer, of the other server.
    The START of the first router is refused. Before the router tries another server, it has
    the sidecar mark the attempt as one that must not start, so the START of the second
    router, which arrives later, is refused too.
    Given requests: a fleet in two data centres
    When requests: a sidecar refuses the START of one router while that of another is in transit
    Then requests: ana has the whole answer of server B
    And requests: ana again has the whole answer of server B
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: A dispatch is released although its copy remains
    The caller gets "not run", and its retry is answered.
    Another data centre still has the copy of the dispatch. The record of the holder takes
    precedence: a START based on the copy would run under a released reservation.
    Given requests: a fleet in two data centres
    When requests: a dispatch is refused and released although its copy remains
    Then requests: ana is refused with no_server_took_it and not_run true
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario Outline: A first attempt arrives after its retry
    Both callers get the same answer.
    The first attempt was delayed in transit, and the retry ran in the other data centre. The
    retry query left a mark, so the holder sends a query for the late attempt as well, and the
    late call attaches. If the holder with the mark was replaced, its successor treats first
    attempts as retries.
    Given requests: a fleet in two data centres
    When requests: <play>
    Then requests: ana has the whole answer of server A
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

    Examples:
      | play                                                                          |
      | the first attempt is delayed and its retry runs in another data centre        |
      | the holder with the mark is replaced before the delayed first attempt arrives |

  Scenario: Retries cross in two data centres
    Both callers get the same answer.
    Each holder queries the other while its own claim is pending. A fixed order of the two
    for that key decides which claim has precedence; the other call attaches to it.
    Given requests: a fleet in two data centres
    When requests: retries cross in two data centres
    Then requests: ana has the whole answer of server A
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: A retry of a request that may not be repeated, across a partition
    The first caller gets its answer. The retry is refused: this attempt did not run, and
    whether an earlier one did is unknown, as the other data centre can't be queried.
    The dispatch is copied to another router of the same data centre.
    Given requests: a fleet in two data centres
    When requests: a request that may not be repeated is retried across a partition
    Then requests: ana has the whole answer of server A
    And requests: ana again is refused with retry_unsure and not_run unknown
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: A request that may be repeated runs on both sides of a partition
    Both callers get a whole answer, each from its own side.
    Both bills are provisional, and the tokens stay reserved in both data centres. When the
    partition heals, each queries the other, and the fixed order decides which one is billed.
    Given requests: a fleet in two data centres
    When requests: a request is run on both sides of a partition, which then heals
    Then requests: ana has the whole answer of server A
    And requests: ana again has the whole answer of server B
    And requests: the note "billed during the partition" says 0
    And requests: the note "reserved during the partition" says 2
    And requests: it is billed 8 tokens once

  Scenario: A retry runs across a partition although the first attempt ran
    Both callers get a whole answer. The bill of the first attempt is certain and stands; the
    provisional bill of the retry is dropped when its holder learns of the other.
    Given requests: a fleet in two data centres
    When requests: a retry runs across a partition while the first attempt ran
    Then requests: ana has the whole answer of server A
    And requests: ana again has the whole answer of server B
    And requests: it is billed 8 tokens once

  Scenario Outline: Messages are lost or arrive twice
    The caller gets the whole answer, a little later.
    Every call may be sent again, as it is idempotent for its key and attempt.
    Given requests: a fleet in two data centres
    When requests: <play>
    Then requests: ana has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

    Examples:
      | play                                                                             |
      | the reply to a claim, a note, a start and a settlement is lost                   |
      | every call arrives twice                                                         |
      | the connection of an answer falls silent                                         |
      | chunks of another attempt, of another request and out of order arrive in between |

  Scenario: A holder dies and the retry arrives at its successor
    Both callers get the same answer.
    The successor doesn't know the claims of the earlier epoch yet. The dispatch was copied
    to the other data centre before the run began, and the holder there reports it.
    Given requests: a fleet in two data centres
    When requests: the holder dies during a request that may not be repeated, which is retried
    Then requests: ana has the whole answer of server A
    And requests: ana again has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: Holder, copy and sidecar die
    The retry gets "unknown", never "not run".
    No remaining instance knows of the run, and the successor has not recovered the claims of
    earlier epochs.
    Given requests: a fleet in two data centres
    When requests: the holder dies with the only copies of a request that may not be repeated
    Then requests: ana again is refused with retry_unsure and not_run unknown
    And requests: backend servers ran it 1 times

  Scenario: No second instance can store a copy of the dispatch
    The caller gets "not run": a request that may not be repeated doesn't start while only
    one instance has its dispatch.
    Given requests: a fleet in two data centres
    When requests: no second instance can store a copy of the dispatch
    Then requests: ana is refused with no_copy and not_run true
    And requests: backend servers ran it 0 times
    And requests: it is not billed and 0 tokens stay reserved

  Scenario: The holder is unreachable when the answer ends
    The caller gets the whole answer, its end a little late.
    The sidecar has the outcome, and another router a copy of it. The settlement is retried
    until the holder is reachable again, and is billed once.
    Given requests: a fleet in two data centres
    When requests: the holder is unreachable when the answer ends
    Then requests: ana has the whole answer of server A
    And requests: the note "billed during the partition" says 0
    And requests: the note "copies of the outcome" says 1
    And requests: it is billed 8 tokens once

  Scenario: The sidecar dies before the holder is reachable again
    The caller gets the whole answer; it is billed although only the router can report it.
    Given requests: a fleet in two data centres
    When requests: the holder is unreachable when the answer ends, and the sidecar dies
    Then requests: ana has the whole answer of server A
    And requests: it is billed 8 tokens once

  Scenario: Router and sidecar die and no instance can report the run
    The caller's connection breaks.
    The worst case stays reserved until the stored deadline for reports, and is then
    billed: tokens that were generated and not billed would overspend the budget.
    Given requests: a fleet in two data centres
    When requests: a run that no instance can report passes its deadline
    Then requests: the note "reserved meanwhile" says 1
    And requests: it is billed 20 tokens once

  Scenario: A run that was dispatched and never started
    The caller's connection breaks.
    After the deadline the holder cancels the run at the sidecar. The sidecar replies that it
    did not start and will refuse to start it, so the reservation is released.
    Given requests: a fleet in two data centres
    When requests: a dispatched run that was never started passes its deadline
    Then requests: backend servers ran it 0 times
    And requests: it is not billed and 0 tokens stay reserved

  Scenario: Only the connection to the holder is silent
    The caller gets its answer after a while.
    The holder of the other data centre gets the claim. As the first claim may have been
    granted, this one counts as a retry: that holder sends a query and learns of the claim.
    Given requests: a fleet in two data centres
    When requests: only the connection between a router and its holder is silent
    Then requests: ana has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once

  Scenario: The nearest holder is reachable again after another granted the claim
    The caller gets its answer after two seconds.
    The note to the holder in the other data centre gets no reply, so the router claims
    again at the holder of its own data centre, which is reachable again. This claim is not
    marked as a first attempt, so the holder sends a query and learns of the other claim;
    otherwise it would grant a second reservation.
    Given requests: a fleet in two data centres
    When requests: the nearest holder is reachable again after the claim was granted in another data centre
    Then requests: ana has the whole answer of server A
    And requests: backend servers ran it 1 times
    And requests: it is billed 8 tokens once
