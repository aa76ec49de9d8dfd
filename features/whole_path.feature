Feature: The whole path of requests through a fleet of three data centres
  Declarations are applied in the operators' language, and everything after that goes
  through the real routers and sidecars.

  Background:
    Given a whole path through a fleet with declarations applied

  Scenario: Streamed, whole and plain service answers
    When the whole path asks for a streamed, a whole and a service answer at three routers
    Then the whole path got each answer whole and its own
    And the whole path billed each of them once, by its own cost

  Scenario: A retry through another data centre attaches to the run
    The caller's connection to the first router breaks in mid-stream, as that router dies.
    It asks a router of another data centre under the same key, and gets the answer from
    its first token: the run went on, and is billed once.
    When the whole path loses the router of a stream and asks again in another data centre
    Then the whole path got each answer whole and its own
    And the whole path ran and billed that request once

  Scenario: The same key with another body
    When the whole path sends another body under a used key through another data centre
    Then the whole path is answered 409 idempotency_conflict

  Scenario: A request over the budget, and a top-up
    The refusal says "not run": no engine sees it and nothing stays reserved.  Right after
    the top-up is accepted, it is answered.
    When the whole path asks for more than the budget of its small account
    Then the whole path is answered 429 budget_exhausted
    And the whole path has no run of it and nothing reserved
    When the whole path tops the small account up and asks again
    Then the whole path is answered 200

  Scenario: What became of a request, asked when its router is gone
    When the whole path has a request answered and its router dies
    Then every other router of the whole path tells its run, its bill and its steps
    And the whole path shows the dump of a router and of a sidecar
