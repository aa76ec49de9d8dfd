Feature: Claims at one holder
  The replies of a holder, message by message.

  Scenario: A request is settled repeatedly
    The caller is billed once, for the attempt whose answer it got.
    A late report of the older attempt is accepted and not billed. Router and sidecar both
    settle the newer one, and the second report changes nothing.
    Given requests: a fleet in two data centres
    When requests: a request is settled repeatedly by router and sidecar
    Then requests: the note "late attempt was accepted" says 1
    And requests: the note "first bill" says 7
    And requests: the note "repeated bill" says 7
    And requests: it is billed 7 tokens once

  Scenario: Two routers dispatch at the same time
    Both callers get the answer of the same run.
    A dispatch is a compare-and-swap on the attempt number. A request that may not be
    repeated can't be dispatched again while an earlier dispatch stands. The copy on another
    instance is that of the accepted dispatch, although the reply to the first copy is lost.
    Given requests: a fleet in two data centres
    When requests: two routers dispatch the next attempt at the same time
    Then requests: the note "accepted" says 1
    And requests: the note "copies of the accepted dispatch" says 1
    And requests: the note "second dispatch accepted" says 0

  Scenario: Two routers dispatch the same attempt of a request that may be repeated
    Both callers get the answer of the same run: the chunks of two runs with the same attempt
    number could not be told apart.
    Given requests: a fleet in two data centres
    When requests: two routers dispatch the next attempt of a request that may be repeated
    Then requests: the note "accepted" says 1

  Scenario: A holder resumes after its epoch was sealed
    The caller's router is redirected; nothing starts under the sealed epoch.
    The holder was paused and assumes that it still holds the shard, and a claim waits there.
    The instance that sealed the epoch has counted the reported records; a later grant would
    be missing from them.
    Given requests: a fleet in two data centres
    When requests: the epoch of a paused holder is sealed and the holder resumes
    Then requests: the note "records reported" says 1
    And requests: the note "claims redirected after the seal" says 2
    And requests: the note "dispatches accepted after the seal" says 0

  Scenario: The table of a holder is full
    The caller gets "not run". No older request is evicted for the new one, as it could then
    run a second time.
    Given requests: a fleet in two data centres that remembers 5 requests
    When requests: the table of a holder is full
    Then requests: the note "granted" says 5
    And requests: the note "refused as full" says 1
    And requests: the note "first request is still known" says 1

  Scenario: A request expires, but not while a data centre is not visible
    The caller is billed once, also after a partition that lasts longer than requests are
    kept: the other side may have run a retry provisionally and sends its query when the
    partition heals.
    Given requests: a fleet in two data centres
    When requests: an ended request expires while a data centre is not visible
    Then requests: the note "records during the partition" says 1
    And requests: the note "records after the partition" says 0

  Scenario: A successor merges what ran under the sealed epoch
    The caller's retry attaches to the run. A claim that was never dispatched is granted again
    under the new epoch. The bill of the run arrives under the old epoch.
    Given requests: a fleet in two data centres
    When requests: a successor merges what ran under the sealed epoch
    Then requests: the note "running request is known" says 1
    And requests: the note "undispatched claim is granted again" says 1
    And requests: the note "usage of the old epoch" says 6

  Scenario: A settlement of an unknown request
    The caller's retry gets the outcome although the holder had lost the claim.
    Given requests: a fleet in two data centres
    When requests: a holder receives the settlement of an unknown request
    Then requests: the note "settled without a record" says 0
    And requests: the note "settled with a record" says 1
    And requests: the note "known afterwards" says 1
