Feature: What the sidecars beside engines are told
  Each call costs the router and the sidecar about a millisecond of their processors.

  Scenario: Short prompts cost few calls
    Each word about a long prompt took with it words about all that had changed, also of requests
    that delay no other: 108 calls a second.
    Given a router before 20 engines with sidecars
    When it carries 10 long and 40 short prompts a second for 9 seconds
    Then the sidecars are called at most 25 times a second
    And each sidecar heard of the router in the last 3.5 seconds

  Scenario: A prompt is told of once when it is read
    Each event of a stream told the sidecar beside the engine again that its prompt was read: 6
    words for a stream of 6 events.
    Given a streamed route with 1 attempts, whose servers answers
    When a request is forwarded
    Then the caller got the events up to 5, each once
    And the sidecars were told 1 times at once

  Scenario: A router that is gone is forgotten
    Given a router before 20 engines with sidecars
    When it carries 10 long and 40 short prompts a second for 2 seconds
    And it is killed, and 7 seconds go by
    Then no sidecar counts anything of it
