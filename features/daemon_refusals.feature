Feature: What a support engineer finds of a refused request
  Over a fleet of real routers in virtual time, with `request id:` at another router than the caller's.

  Scenario: daemon refusals: Refused for its budget, then topped up and run by a retry
    The caller hears 429, and an answer from the retry after a word with support.  The support engineer
    reads both: what the caller was told and when, and the run with its one bill.
    Given daemon refusals: an account with a budget of 5 tokens
    When daemon refusals: the caller asks for more than that
    Then daemon refusals: the caller was refused with "budget_exhausted" and 429
    And daemon refusals: "request id:" says "refused", "budget_exhausted", "429" and "nothing billed"
    When daemon refusals: the account is topped up and the caller asks again
    Then daemon refusals: the caller has its answer
    And daemon refusals: "request id:" says "once at llm-1", "also told at", "budget_exhausted" and "tokens billed"
    And daemon refusals: the request is billed once

  Scenario: daemon refusals: No backend server takes it
    The caller hears a refusal of the router, after its claim was granted.  The support engineer
    reads the router's code, not just that the claim was given back.
    Given daemon refusals: an account with a budget of 5000 tokens
    When daemon refusals: the only backend server is lost and the caller asks
    Then daemon refusals: "request id:" tells the code and the status that the caller got

  Scenario: daemon refusals: A deadline that passed before the claim
    The claim is refused at the holder, since nothing is run that nobody waits for.
    Given daemon refusals: an account with a budget of 5000 tokens
    When daemon refusals: a claim comes to the holder after its deadline
    Then daemon refusals: "request id:" says "refused", "deadline_passed", "504" and "nothing billed"

  Scenario: daemon refusals: A key that is used with another body
    The record of the run stays what it is, and says that another call was turned away.
    Given daemon refusals: an account with a budget of 5000 tokens
    When daemon refusals: the caller asks, and asks something else with the same key
    Then daemon refusals: "request id:" says "once at llm-1", "also told at", "idempotency_conflict" and "tokens billed"

  Scenario: daemon refusals: A flood of refusals
    The record of what ran is still there, and memory is bounded: refusals have a ring of their own.
    Given daemon refusals: an account with a budget of 5000 tokens
    When daemon refusals: a request runs, and 6000 are refused at its holder
    Then daemon refusals: the holder remembers 4096 refusals, the newest, and the run
