Feature: Ends and bills of a sidecar's runs
  Whatever breaks, the end of a run is told truthfully and billed once.

  Scenario Outline: An engine that dies within an answer
    The engine breaks off after three of eight tokens. A request that may be repeated
    has failed and may run again; of one that may not, nobody knows what was done.
    Given a sidecar
    And the sidecar's engine dies after 3 tokens
    When a router starts "atelier/r1" at the sidecar with may_repeat=<may_repeat>
    And a router fetches "atelier/r1" from the sidecar
    And the sidecar's engine is well again
    And a router starts "atelier/r1" at the sidecar with may_repeat=<may_repeat> and attempt=2
    And a router fetches "atelier/r1" from the sidecar
    And 60 seconds pass at the sidecar
    Then answer 1 of the sidecar ends as "<end>"
    And the sidecar's replies are "<replies>"
    And the sidecar's engine got "atelier/r1" <times> times
    And the holders heard one bill of <tokens> tokens for "atelier/r1"

    Examples:
      | may_repeat | end                 | replies          | times | tokens |
      | 1          | failed server_lost  | started, started | 2     | 10     |
      | 0          | unknown server_lost | started, known   | 1     | 5      |

  Scenario: An engine that falls silent within an answer is lost
    Given a sidecar
    And the sidecar's engine falls silent after 3 tokens
    When a router starts "atelier/r1" at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    And 1 second pass at the sidecar
    Then answer 1 of the sidecar ends as "unknown server_lost"
    And the holders heard one bill of 5 tokens for "atelier/r1"

  Scenario: An engine that was never reached did not run the request
    Given a sidecar
    And the sidecar's engine can't be reached
    When a router starts "cutter/r1" at the sidecar
    And a router fetches "cutter/r1" from the sidecar
    And the sidecar's engine is well again
    And a router starts "cutter/r1" at the sidecar with attempt=2
    And a router fetches "cutter/r1" from the sidecar
    Then answer 1 of the sidecar ends as "failed not_sent not run"
    And answer 2 of the sidecar is whole and has status 200
    And the sidecar's engine got "cutter/r1" 1 time

  Scenario: An overloaded engine's refusal is not passed on where the request may be repeated
    Given a sidecar
    And the sidecar's engine refuses with status 503
    When a router starts "atelier/r1" at the sidecar with may_repeat=1
    And a router fetches "atelier/r1" from the sidecar
    And a router starts "cutter/r1" at the sidecar
    And a router fetches "cutter/r1" from the sidecar
    Then answer 1 of the sidecar ends as "failed server_refused"
    And answer 2 of the sidecar ends as "answered"
    And the holders heard one bill of 0 tokens for "cutter/r1"

  Scenario: A failed attempt is settled only when nobody ran the request again
    Settled at once it would free the reservation under a second attempt elsewhere;
    never settled it would strand the tokens of a request whose router died.
    Given a sidecar
    And the sidecar's engine dies after 3 tokens
    When a router starts "atelier/r1" at the sidecar with may_repeat=1
    And 29 seconds pass at the sidecar
    And the holders have heard no bill for "atelier/r1" yet
    And 3 seconds pass at the sidecar
    Then the holders heard one bill of 5 tokens for "atelier/r1"

  Scenario: A cancel reaches the engine, and what was generated is billed once
    Given a sidecar
    And the sidecar's engine takes 1 second for each token
    When a router starts "atelier/r1" at the sidecar
    And 3.5 seconds pass at the sidecar
    And a router cancels "atelier/r1" at incarnation 5 of the sidecar
    And a router fetches "atelier/r1" from the sidecar
    And 5 seconds pass at the sidecar
    Then answer 1 of the sidecar ends as "cancelled cancelled"
    And the sidecar's engine heard of the cancel of "atelier/r1" after 3 tokens
    And the holders heard one bill of 5 tokens for "atelier/r1"

  Scenario: The caller's deadline reaches the engine though every router is gone
    Given a sidecar
    And the sidecar's engine takes 1 second for each token
    When a router starts "atelier/r1" at the sidecar with within_s=4.5
    And 10 seconds pass at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    Then answer 1 of the sidecar ends as "cancelled deadline"
    And the sidecar's engine heard of the cancel of "atelier/r1" after 4 tokens
    And the holders heard one bill of 6 tokens for "atelier/r1"

  Scenario: An engine that reports more than the bound is billed the bound
    The reservation was made for the bound; billed more, the account would be overspent.
    Given a sidecar
    And the sidecar's engine reports 500 tokens too many
    When a router starts "atelier/r1" at the sidecar with bound_tokens=40
    And 5 seconds pass at the sidecar
    Then the holders heard one bill of 40 tokens for "atelier/r1"

  Scenario: An engine that reports no usage is billed what was counted
    Given a sidecar
    And the sidecar's engine reports no usage
    When a router starts "atelier/r1" at the sidecar
    And 5 seconds pass at the sidecar
    Then the holders heard one bill of 10 tokens for "atelier/r1"

  Scenario: An answer beyond the bound of kept bytes is cut and billed as generated
    Given a sidecar with answer_bytes=2000
    And the sidecar's engine answers 90 tokens
    When a router starts "atelier/r1" at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    And 1 second pass at the sidecar
    Then answer 1 of the sidecar ends as "cancelled answer_too_long"
    And the sidecar's engine heard of the cancel of "atelier/r1" after 30 tokens
    And the holders heard one bill of 32 tokens for "atelier/r1"

  Scenario: A bill waits for its holder as long as it takes
    Both holders are cut off for a long time, as in a partition between data centres.
    Given a sidecar
    When the holders are cut off from the sidecar
    And a router starts "atelier/r1" at the sidecar
    And 3600 seconds pass at the sidecar
    And the holders have heard no bill for "atelier/r1" yet
    And the network of the sidecar is well again
    And 10 seconds pass at the sidecar
    Then the holders heard one bill of 10 tokens for "atelier/r1"

  Scenario: A lost acknowledgement is resolved by telling the same bill again
    Given a sidecar
    When the holders' replies to the sidecar are lost
    And a router starts "atelier/r1" at the sidecar
    And 10 seconds pass at the sidecar
    And the network of the sidecar is well again
    And 10 seconds pass at the sidecar
    Then the holders heard the same bill of 10 tokens for "atelier/r1" more than once
    And the sidecar settles "atelier/r1" no more

  Scenario: A holder that moved says where to
    Given a sidecar
    When the holder points to the other one
    And a router starts "atelier/r1" at the sidecar
    And 5 seconds pass at the sidecar
    Then the other holder alone heard a bill of 10 tokens for "atelier/r1"
    And the bill of "atelier/r1" carries its whole record

  Scenario: A holder that is gone for good is found through the other routers
    Given a sidecar
    When the holder dies
    And a router starts "atelier/r1" at the sidecar
    And 5 seconds pass at the sidecar
    Then the other holder alone heard a bill of 10 tokens for "atelier/r1"

  Scenario Outline: A call of a plain service that may not be repeated
    The service does the call and dies before its answer, or falls silent. The call may
    have taken the remnant, so it is unknown, costs its price, and is never made again.
    Given a sidecar beside a plain service that <fault>
    When a router starts "cutter/r1" at the sidecar with cost_tokens=3
    And a router fetches "cutter/r1" from the sidecar
    And a router starts "cutter/r1" at the sidecar with cost_tokens=3 and attempt=2
    And 5 seconds pass at the sidecar
    Then answer 1 of the sidecar ends as "<end>"
    And the sidecar's service took 1 remnant of "p-7"
    And the holders heard one bill of 3 tokens for "cutter/r1"

    Examples:
      | fault                  | end                 |
      | is well                | answered            |
      | dies before its answer | unknown server_lost |
      | falls silent           | unknown server_lost |
