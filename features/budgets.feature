Feature: Prepaid budgets
  A holder spends below a ceiling that the store has granted to its epoch, so that no
  partition, pause or late message causes overspending. Requests are refused only if necessary.

  Scenario: Requests from all data centres spend a budget completely
    Given budgets with 10000 tokens
    When budget requests of 1000 that use 1000 are sent 10 times in turn
    And budget time passes for 5 seconds
    Then all 10 budget requests are answered
    And the budget store shows 10000 spent

  Scenario: A request that can never fit is refused immediately, as not run
    Given budgets with 1000 tokens
    When budget request "late" of 1001 that uses 1 is sent in porto-a
    And budget time passes for 0.5 seconds
    Then budget request "late" is refused with budget_exhausted within 0.1 seconds

  Scenario: A request waits until a reservation is settled instead of being refused
    Given budgets with 1000 tokens
    When budget request "long" of 900 that uses 100 runs 2 seconds in porto-a
    And budget time passes for 0.5 seconds
    And budget request "waits" of 500 that uses 500 is sent in porto-b
    And budget time passes for 5 seconds
    Then budget request "waits" is answered
    And nothing of the budget is overspent

  Scenario: Small requests don't starve a large one that waits
    Given budgets with 1000 tokens
    When budget request "long" of 900 that uses 0 runs 2 seconds in porto-a
    And budget time passes for 0.2 seconds
    And budget request "large" of 1000 that uses 0 is sent in porto-a
    And budget requests of 100 that use 0 are sent 30 times each 0.1 seconds in porto-a
    And budget time passes for 5 seconds
    Then budget request "large" is answered
    And nothing of the budget is overspent

  Scenario: Usage above the reservation is billed as reserved, and logged once
    The caller gets its answer. The engine reported 900 tokens, but 500 were reserved;
    billing 900 would spend tokens that were not checked against any ceiling.
    Given budgets with 1000 tokens
    When a budget reservation of 500 is settled with 900, twice
    Then the budget bills were 500 and 500
    And budget event 1005 was logged

  Scenario: A top-up counts once by its id, and is usable within seconds
    Given budgets with 100 tokens
    When budget request "early" of 500 that uses 500 is sent in porto-a
    And budget time passes for 1 seconds
    And the budget is topped up by 500 as "june"
    And the budget is topped up by 500 as "june"
    And budget time passes for 2 seconds
    And budget request "after" of 600 that uses 600 is sent in porto-b
    And budget time passes for 2 seconds
    Then budget request "early" is refused with budget_exhausted within 1 seconds
    And budget request "after" is answered
    And the outcomes for the budget operator are Accepted, Accepted, AlreadyApplied

  Scenario: A request follows immediately after a top-up
    The caller was refused, the operator tops up, and the caller immediately sends another
    request to the same holder. The record that the holder has in memory is from just before
    the top-up and older than the request, so it reads the record again before refusing.
    Given budgets with 100 tokens
    When budget time passes for 0.5 seconds
    And budget request "early" of 500 that uses 500 is sent in porto-a
    And budget time passes for 0.4 seconds
    And the budget is topped up by 500 as "june"
    And budget request "at once" of 600 that uses 600 is sent in porto-a
    And budget time passes for 2 seconds
    Then budget request "early" is refused with budget_exhausted within 1 seconds
    And budget request "at once" is answered

  Scenario: The reply to a top-up is lost after it took effect
    The operator gets "accepted". The store wrote the top-up and its reply was lost; the
    command reads the record again and finds its own id, so it neither repeats the top-up
    nor reports a failure.
    Given budgets with 100 tokens
    When the budget store loses the replies to 1 writes
    And the budget is topped up by 500 as "june"
    Then the outcomes for the budget operator are Accepted, Accepted
    And the budget store shows 600 paid in

  Scenario: The store is down during a top-up
    The operator gets "not accepted": nothing was sent that could take effect later.
    Given budgets with 100 tokens
    When the budget store becomes unavailable
    And the budget is topped up by 500 as "june"
    And the budget store is available again
    Then the outcomes for the budget operator are Accepted, NotAccepted
    And the budget store shows 100 paid in

  Scenario: The reply to a top-up is lost and the store goes down
    The operator gets "unknown" and repeats the top-up with the same id. The write took
    effect, its reply was lost, and the store was down when the record was read again.
    Given budgets with 100 tokens
    When a budget top-up of 500 as "june" is written, its reply lost and the store down
    And the budget store is available again
    And the budget is topped up by 500 as "june"
    Then the outcomes for the budget operator are Accepted, Unknown, AlreadyApplied
    And the budget store shows 600 paid in

  Scenario: Old top-ups are folded and still count once
    Given budgets with 100 tokens
    When the budget is topped up by 10 in 40 pieces
    And the budget is topped up by 10 as "piece-0"
    Then the budget store shows 500 paid in
    And the outcomes for the budget operator are AlreadyApplied at the end

  Scenario: A declared budget can't fall below the granted and spent tokens
    Given budgets with 1000 tokens
    When budget requests of 600 that use 600 are sent 1 times in turn
    And budget time passes for 1 seconds
    And the budget is declared to be 599
    Then the outcomes for the budget operator are Accepted, NotAccepted

  Scenario: A holder fails while requests are running
    Callers get answers, and refusals for a few seconds at most. The holder dies with 400
    tokens reserved. Its successor counts the whole grant as spent, seals the epoch at all
    sidecars, collects the runs and frees the remaining tokens.
    Given budgets with 2000 tokens
    When budget request "runs" of 400 that uses 300 runs 6 seconds in porto-a
    And budget time passes for 3 seconds
    And the budget holder of porto-a is killed and detected as failed
    And budget time passes for 30 seconds
    And budget request "rest" of 1700 that uses 1700 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "rest" is answered
    And the budget store shows 2000 spent
    And budget event 1006 was logged

  Scenario: A holder and a sidecar fail together
    The caller of a request that needs the last tokens is refused. No instance knows the
    runs of the failed holder at the failed sidecar, so the remaining tokens stay stranded.
    Given budgets with 2000 tokens
    When budget request "runs" of 400 that uses 300 runs 60 seconds in porto-a
    And budget time passes for 3 seconds
    And all budget sidecars of porto-a are restarted
    And the budget holder of porto-a is killed and detected as failed
    And budget time passes for 30 seconds
    And budget request "rest" of 1601 that uses 1601 is sent in porto-b
    And budget time passes for 6 seconds
    Then budget request "rest" is refused with budget_exhausted within 6 seconds
    And budget event 1007 was logged

  Scenario: The background task of the budgets fails and is restarted
    Callers get answers. The shard is taken over under the next epoch. Without its task it
    would have admitted requests below its old ceiling and never have written their usage.
    Given budgets with 2000 tokens
    When budget request "first" of 400 that uses 400 is sent in porto-a
    And budget time passes for 1 seconds
    And the budget task of the holder in porto-a is restarted
    And budget time passes for 10 seconds
    And budget request "second" of 1600 that uses 1600 is sent in porto-a
    And budget time passes for 20 seconds
    Then budget request "second" is answered
    And the budget store shows 2000 spent
    And budget event 1002 was logged

  Scenario: A holder fails and returns while the store is down
    Callers get answers afterwards, and the shard is taken over once. The other router waited
    for the store to take it over; it did so although the first one had returned, and lost
    the shard again.
    Given budgets with 2000 tokens
    When budget request "first" of 400 that uses 400 is sent in porto-a
    And budget time passes for 5 seconds
    And the budget store becomes unavailable
    And the budget holder of porto-a is killed, detected as failed and restarted after 10 seconds
    And the budget store is available again
    And budget time passes for 20 seconds
    And budget request "second" of 1600 that uses 1600 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "second" is answered
    And the budget shard of porto-a is at epoch 2

  Scenario: An operator writes off the stranded tokens of a failed holder
    Given budgets with 2000 tokens
    When budget request "runs" of 400 that uses 300 runs 60 seconds in porto-a
    And budget time passes for 3 seconds
    And all budget sidecars of porto-a are restarted
    And the budget holder of porto-a is killed and detected as failed
    And budget time passes for 30 seconds
    And the operator writes off 300 budget tokens of epoch 1 in porto-a, twice
    And budget request "rest" of 1700 that uses 1700 is sent in porto-b
    And budget time passes for 6 seconds
    Then budget request "rest" is answered
    And the outcomes for the budget operator are Accepted, Accepted, NotAccepted

  Scenario: A holder hands over while a request runs at an unreachable sidecar
    The caller of a request that needs those tokens is refused. The holder is alive and
    reports its reservation; unreachable sidecars don't mean that the tokens are unspent.
    Given budgets with 2000 tokens
    When budget request "runs" of 1500 that uses 1500 runs 20 seconds in porto-a
    And budget time passes for 1 seconds
    And the budget holder of porto-a leaves, and its successor reaches no sidecar
    And budget time passes for 8 seconds
    And budget request "more" of 600 that uses 600 is sent in porto-b
    And budget time passes for 30 seconds
    Then budget request "more" is refused with budget_exhausted within 6 seconds
    And budget request "runs" is answered
    And nothing of the budget is overspent

  Scenario: A paused holder resumes and assumes that it still holds the shard
    A caller that reaches it is refused as not run: the sidecar has sealed the epoch. The
    holder was considered failed; its successor sealed its epoch and freed its tokens.
    Given budgets with 1000 tokens
    When budget request "first" of 100 that uses 100 is sent in porto-a
    And budget time passes for 3 seconds
    And the budget holder of porto-a is paused and detected as failed
    And budget time passes for 5 seconds
    And the paused budget holder resumes and grants 150 to a router that starts the run
    Then the request of the resumed budget holder was refused by its sidecar
    And nothing of the budget is overspent

  Scenario: The lease of the instance list lapses while the holder is paused
    Callers get answers from the successor. The holder resumes after its lease has lapsed.
    Its shard was taken over, so its next write finds the later epoch, and it stops.
    Given budgets with 1000 tokens
    When budget request "first" of 100 that uses 100 is sent in porto-a
    And budget time passes for 3 seconds
    And the budget holder of porto-a is paused and detected as failed
    And budget time passes for 10 seconds
    And the paused budget holder resumes
    And budget request "second" of 100 that uses 100 is sent in porto-a
    And budget time passes for 10 seconds
    Then budget request "second" is answered
    And budget event 1002 was logged

  Scenario: The store is down for ten minutes
    Callers get answers. Holders continue below their ceilings, and one that needs more
    headroom gets it from the holder in the other data centre.
    Given budgets with 4000 tokens
    When budget request "a" of 100 that uses 100 is sent in porto-a
    And budget request "b" of 100 that uses 100 is sent in porto-b
    And budget time passes for 1 seconds
    And the budget store becomes unavailable
    And budget request "large" of 500 that uses 500 is sent in porto-a
    And budget time passes for 600 seconds
    And the budget store is available again
    And budget time passes for 30 seconds
    Then budget request "large" is answered
    And the budget store shows 700 spent
    And no budget transfers are left in the store

  Scenario: The reply to a direct transfer is lost
    The caller is refused at its deadline. The donor lowered its ceiling and its reply was
    lost: the tokens are stranded until the receiver reaches the store again.
    Given budgets with 4000 tokens
    When budget request "a" of 100 that uses 100 is sent in porto-a
    And budget request "b" of 100 that uses 100 is sent in porto-b
    And budget time passes for 1 seconds
    And the budget store becomes unavailable
    And replies between the budget holders are lost
    And budget request "large" of 500 that uses 500 is sent in porto-a
    And budget time passes for 10 seconds
    And the budget store is available again and the links are restored
    And budget time passes for 30 seconds
    And budget request "rest" of 3800 that uses 3800 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "large" is refused with budget_exhausted within 6 seconds
    And budget request "rest" is answered
    And no budget transfers are left in the store

  Scenario: Replies of the store are lost after writes took effect
    Callers get answers. Each reply to a write is lost; the holder reads the record and
    writes it again, and raises its ceiling only after a confirmed write.
    Given budgets with 2000 tokens
    When the budget store loses the replies to 6 writes
    And budget requests of 500 that use 500 are sent 4 times in turn
    And budget time passes for 10 seconds
    Then all 4 budget requests are answered
    And the budget store shows 2000 spent

  Scenario: The store is slow
    The caller waits and gets its answer: the write takes seconds, and the deadline of the
    request allows for that.
    Given budgets with 2000 tokens
    When the budget store takes 0.2 seconds for each call
    And budget request "slow" of 500 that uses 500 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "slow" is answered

  Scenario: A corrupt record is repaired long after its holder dropped the usage
    A caller that needs tokens already spent is refused. The repaired record names this
    holder and its old ceiling; resuming that epoch would spend the ceiling a second time.
    Given budgets with 1000 tokens
    When budget request "first" of 900 that uses 900 is sent in porto-a
    And budget time passes for 1 seconds
    And the budget record is broken for 700 seconds and then restored
    And budget time passes for 30 seconds
    And budget request "again" of 900 that uses 900 is sent in porto-a
    And budget time passes for 6 seconds
    Then budget request "again" is refused with budget_exhausted within 6 seconds
    And nothing of the budget is overspent

  Scenario Outline: An unusable record stops its shard and is left unchanged
    The caller is refused as not run. The record is <fault>; admitting requests based on it
    could overspend, and rewriting it would destroy what an operator has to inspect.
    Given budgets with 2000 tokens
    When budget requests of 100 that use 100 are sent 1 times in turn
    And budget time passes for 1 seconds
    And the budget record becomes <fault>
    And budget requests of 400 that use 400 are sent 2 times in turn
    And budget time passes for 20 seconds
    Then the last 2 budget requests are not answered
    And the budget record is still <fault>
    And budget event 1003 was logged

    Examples:
      | fault               |
      | broken              |
      | of a newer version  |
      | over its budget     |
