Feature: Load reports to the sidecars beside engines
  Each call costs the router and the sidecar about a millisecond of processor time.

  Scenario: Short prompts cost few calls
    Each report about a long prompt was sent with reports about all other changes, also of requests
    that delay no other: 108 calls a second.
    Given a router in front of 20 engines with sidecars
    When it forwards 10 long and 40 short prompts a second for 9 seconds
    Then the sidecars are called at most 25 times a second
    And each sidecar got a report of the router in the last 3.5 seconds

  Scenario: A prompt is reported once when the engine has read it
    Each event of a stream reported again to the sidecar beside the engine that the prompt was read:
    6 reports for a stream of 6 events.
    Given a streamed route with 1 attempts, whose servers answers
    When a request is forwarded
    Then the caller got the events up to 5, each once
    And the sidecars got 1 urgent reports

  Scenario: The load of a router that is gone expires
    Given a router in front of 20 engines with sidecars
    When it forwards 10 long and 40 short prompts a second for 2 seconds
    And it is killed, and 7 seconds go by
    Then no sidecar counts any load of it
