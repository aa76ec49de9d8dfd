Feature: What the sidecars beside engines are told
  Each call costs the router and the sidecar about a millisecond of their processors.

  Scenario: Short prompts cost few calls
    Half of the processor time that sidecars used went into words of routers about requests
    that delay no other: each word about a long prompt took with it all that had changed.
    Given a router before 20 engines with sidecars
    When it carries 10 long and 40 short prompts a second for 9 seconds
    Then the sidecars are called at most 25 times a second
    And each sidecar heard of the router in the last 3.5 seconds

  Scenario: A router that is gone is forgotten
    Given a router before 20 engines with sidecars
    When it carries 10 long and 40 short prompts a second for 2 seconds
    And it is killed, and 7 seconds go by
    Then no sidecar counts anything of it
