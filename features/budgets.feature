Feature: Prepaid budgets
  A holder spends below a ceiling that the store granted to its epoch, so that no
  partition, pause or late message overspends; refusals are kept to the needed ones.

  Scenario: A budget is spent from all data centres to its last request
    Given budgets with 10000 tokens
    When budget requests of 1000 that use 1000 are sent 10 times in turn
    And budget time passes for 5 seconds
    Then all 10 budget requests are answered
    And the budget store shows 10000 spent

  Scenario: A request that can never fit is refused at once, as not run
    Given budgets with 1000 tokens
    When budget request "late" of 1001 that uses 1 is sent in porto-a
    And budget time passes for 0.5 seconds
    Then budget request "late" is refused with budget_exhausted within 0.1 seconds

  Scenario: A request waits for a reservation to settle rather than being refused
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

  Scenario: Usage beyond the reservation is billed as reserved, and reported once
    The caller sees its answer. The engine reported 900 tokens where 500 were reserved;
    billing them would spend tokens that no ceiling was checked for.
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
    And the budget operator heard Accepted, Accepted, AlreadyApplied

  Scenario: A request follows a top-up at once
    The caller was refused, the operator pays in, and the caller asks again at the same
    holder a moment later. The holder has a record from just before the top-up; it reads
    again before it refuses, since what it has seen is older than the request.
    Given budgets with 100 tokens
    When budget time passes for 0.5 seconds
    And budget request "early" of 500 that uses 500 is sent in porto-a
    And budget time passes for 0.4 seconds
    And the budget is topped up by 500 as "june"
    And budget request "at once" of 600 that uses 600 is sent in porto-a
    And budget time passes for 2 seconds
    Then budget request "early" is refused with budget_exhausted within 1 seconds
    And budget request "at once" is answered

  Scenario: The answer to a top-up is lost after it took effect
    The operator hears "accepted". The store wrote the top-up and its answer was lost;
    the command reads back and finds its own id, so it neither repeats nor denies it.
    Given budgets with 100 tokens
    When the budget store loses the answers to 1 writes
    And the budget is topped up by 500 as "june"
    Then the budget operator heard Accepted, Accepted
    And the budget store shows 600 paid in

  Scenario: The store is down during a top-up
    The operator hears "not accepted": nothing was sent that could take effect later.
    Given budgets with 100 tokens
    When the budget store goes down
    And the budget is topped up by 500 as "june"
    And the budget store comes back
    Then the budget operator heard Accepted, NotAccepted
    And the budget store shows 100 paid in

  Scenario: The answer to a top-up is lost and the store goes down
    The operator hears "unknown" and repeats it under the same id. The write took effect,
    its answer was lost, and the read that would tell found the store down.
    Given budgets with 100 tokens
    When a budget top-up of 500 as "june" is written, its answer lost and the store down
    And the budget store comes back
    And the budget is topped up by 500 as "june"
    Then the budget operator heard Accepted, Unknown, AlreadyApplied
    And the budget store shows 600 paid in

  Scenario: Old top-ups are folded and still count once
    Given budgets with 100 tokens
    When the budget is topped up by 10 in 40 pieces
    And the budget is topped up by 10 as "piece-0"
    Then the budget store shows 500 paid in
    And the budget operator heard AlreadyApplied at last

  Scenario: A declared budget can't fall below what is granted or spent
    Given budgets with 1000 tokens
    When budget requests of 600 that use 600 are sent 1 times in turn
    And budget time passes for 1 seconds
    And the budget is declared to be 599
    Then the budget operator heard Accepted, NotAccepted

  Scenario: A holder is lost with requests running
    Callers see answers and then refusals for a few seconds at the most. The holder dies
    with 400 tokens reserved. Its successor counts all it was granted as spent, seals the
    epoch at all sidecars, learns what ran and frees the rest.
    Given budgets with 2000 tokens
    When budget request "runs" of 400 that uses 300 runs 6 seconds in porto-a
    And budget time passes for 3 seconds
    And the budget holder of porto-a is killed and seen gone
    And budget time passes for 30 seconds
    And budget request "rest" of 1700 that uses 1700 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "rest" is answered
    And the budget store shows 2000 spent
    And budget event 1006 was logged

  Scenario: A holder and a sidecar are lost together
    The caller of a request that needs the last tokens is refused. What ran at the lost
    sidecar for the lost holder is known to nobody, so the rest stays set aside.
    Given budgets with 2000 tokens
    When budget request "runs" of 400 that uses 300 runs 60 seconds in porto-a
    And budget time passes for 3 seconds
    And all budget sidecars of porto-a are restarted
    And the budget holder of porto-a is killed and seen gone
    And budget time passes for 30 seconds
    And budget request "rest" of 1601 that uses 1601 is sent in porto-b
    And budget time passes for 6 seconds
    Then budget request "rest" is refused with budget_exhausted within 6 seconds
    And budget event 1007 was logged

  Scenario: The background task of the budgets breaks off and is started again
    Callers are answered. The shard is taken under a next epoch; kept on without its task it
    would have admitted below its old ceiling and never have written what it spent.
    Given budgets with 2000 tokens
    When budget request "first" of 400 that uses 400 is sent in porto-a
    And budget time passes for 1 seconds
    And the budget task of porto-a's holder is started again
    And budget time passes for 10 seconds
    And budget request "second" of 1600 that uses 1600 is sent in porto-a
    And budget time passes for 20 seconds
    Then budget request "second" is answered
    And the budget store shows 2000 spent
    And budget event 1002 was logged

  Scenario: A holder is lost and comes back while the store is down
    Callers see answers afterwards, and the shard is taken once. The other router waited for
    the store to take it; it took it though the first one was back, and lost it again.
    Given budgets with 2000 tokens
    When budget request "first" of 400 that uses 400 is sent in porto-a
    And budget time passes for 5 seconds
    And the budget store goes down
    And the budget holder of porto-a is killed, seen gone and started again after 10 seconds
    And the budget store comes back
    And budget time passes for 20 seconds
    And budget request "second" of 1600 that uses 1600 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "second" is answered
    And the budget shard of porto-a is at epoch 2

  Scenario: An operator writes off what a lost holder left
    Given budgets with 2000 tokens
    When budget request "runs" of 400 that uses 300 runs 60 seconds in porto-a
    And budget time passes for 3 seconds
    And all budget sidecars of porto-a are restarted
    And the budget holder of porto-a is killed and seen gone
    And budget time passes for 30 seconds
    And the operator writes off 300 budget tokens of epoch 1 in porto-a, twice
    And budget request "rest" of 1700 that uses 1700 is sent in porto-b
    And budget time passes for 6 seconds
    Then budget request "rest" is answered
    And the budget operator heard Accepted, Accepted, NotAccepted

  Scenario: A holder hands over while a request runs at a sidecar that can't be asked
    The caller of a request that needs those tokens is refused. The holder lives and tells
    of its reservation; that the sidecars are out of reach doesn't make it unspent.
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

  Scenario: A paused holder wakes and believes that it still holds the shard
    The caller that reaches it is refused as not run: its sidecar has sealed the epoch.
    The holder was taken for gone, its successor sealed its epoch and freed its tokens.
    Given budgets with 1000 tokens
    When budget request "first" of 100 that uses 100 is sent in porto-a
    And budget time passes for 3 seconds
    And the budget holder of porto-a is paused and seen gone
    And budget time passes for 5 seconds
    And the paused budget holder wakes and grants 150 to a router that starts it
    Then the woken budget holder's request was refused by its sidecar
    And nothing of the budget is overspent

  Scenario: The lease of the instance list lapses while the holder is paused
    Callers see answers from the successor. The holder wakes after its lease lapsed; its
    place was given away, so its next write finds the later epoch, and it stops.
    Given budgets with 1000 tokens
    When budget request "first" of 100 that uses 100 is sent in porto-a
    And budget time passes for 3 seconds
    And the budget holder of porto-a is paused and seen gone
    And budget time passes for 10 seconds
    And the paused budget holder wakes
    And budget request "second" of 100 that uses 100 is sent in porto-a
    And budget time passes for 10 seconds
    Then budget request "second" is answered
    And budget event 1002 was logged

  Scenario: The store is down for ten minutes
    Callers see answers. Holders go on below their ceilings, and one that needs more than
    its own gets it from the other data centre's holder.
    Given budgets with 4000 tokens
    When budget request "a" of 100 that uses 100 is sent in porto-a
    And budget request "b" of 100 that uses 100 is sent in porto-b
    And budget time passes for 1 seconds
    And the budget store goes down
    And budget request "large" of 500 that uses 500 is sent in porto-a
    And budget time passes for 600 seconds
    And the budget store comes back
    And budget time passes for 30 seconds
    Then budget request "large" is answered
    And the budget store shows 700 spent
    And no budget transfers are left in the store

  Scenario: The answer to a direct transfer is lost
    The caller is refused at its deadline. The donor lowered its ceiling and its answer was
    lost: the tokens are stranded, and come back when the receiver reaches the store.
    Given budgets with 4000 tokens
    When budget request "a" of 100 that uses 100 is sent in porto-a
    And budget request "b" of 100 that uses 100 is sent in porto-b
    And budget time passes for 1 seconds
    And the budget store goes down
    And replies between the budget holders are lost
    And budget request "large" of 500 that uses 500 is sent in porto-a
    And budget time passes for 10 seconds
    And the budget store comes back and the links heal
    And budget time passes for 30 seconds
    And budget request "rest" of 3800 that uses 3800 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "large" is refused with budget_exhausted within 6 seconds
    And budget request "rest" is answered
    And no budget transfers are left in the store

  Scenario: The store answers after its write took effect
    Callers see answers. Each answer to a write is lost; the holder reads back and writes
    again, and raises its ceiling only by a write that was confirmed.
    Given budgets with 2000 tokens
    When the budget store loses the answers to 6 writes
    And budget requests of 500 that use 500 are sent 4 times in turn
    And budget time passes for 10 seconds
    Then all 4 budget requests are answered
    And the budget store shows 2000 spent

  Scenario: The store is slow
    The caller waits and is answered: the write takes seconds, and the request's deadline
    leaves room for it.
    Given budgets with 2000 tokens
    When the budget store takes 0.2 seconds for each call
    And budget request "slow" of 500 that uses 500 is sent in porto-a
    And budget time passes for 5 seconds
    Then budget request "slow" is answered

  Scenario: A bad record is repaired long after its holder forgot what it spent
    The caller that asks for what was spent already is refused. The repaired record names
    this holder and its old ceiling; taking that up again would spend it a second time.
    Given budgets with 1000 tokens
    When budget request "first" of 900 that uses 900 is sent in porto-a
    And budget time passes for 1 seconds
    And the budget record is broken for 700 seconds and then as it was
    And budget time passes for 30 seconds
    And budget request "again" of 900 that uses 900 is sent in porto-a
    And budget time passes for 6 seconds
    Then budget request "again" is refused with budget_exhausted within 6 seconds
    And nothing of the budget is overspent

  Scenario Outline: A bad record stops its shard and is left as it is
    The caller is refused as not run. The record is <fault>; admitting on it could
    overspend, and rewriting it would destroy what an operator has to look at.
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
