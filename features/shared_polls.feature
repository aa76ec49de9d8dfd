Feature: One poll of the store for many routers
  Many routers that follow the same prefix through one sidecar cost the store as many calls as one.

  Scenario: Many routers cost no more calls than one
    Given 22 routers that follow a prefix through one sidecar
    When 10 seconds pass without changes
    Then the store was polled at most 12 times

  Scenario: A change reaches all routers at once
    Given 22 routers that follow a prefix through one sidecar
    When 3 seconds pass without changes
    And a key below the prefix is written
    Then all routers have the change within 20 ms

  Scenario: A router that is behind misses no change
    A router that was busy asks from a version before the one that the sidecar follows from.  If it
    got only the later changes, it would never learn of a server that left.
    Given 2 routers that follow a prefix through one sidecar
    When a key below the prefix is written
    And 2 seconds pass without changes
    Then a router that asks from the beginning gets the change

  Scenario: A store that stops answering is noticed in time
    The sidecar's connection to the store stops answering for good.  The routers have to ask the
    store directly soon enough to apply a change within 2 s.
    Given 22 routers that follow a prefix through one sidecar
    When 3 seconds pass without changes
    And the sidecar's store stops answering
    Then all routers get an error from the sidecar within 1500 ms

  Scenario: The prefix is followed again when the store answers again
    Given 22 routers that follow a prefix through one sidecar
    When the sidecar's store stops answering
    And 5 seconds pass without changes
    And the sidecar's store answers again
    And 3 seconds pass without changes
    And a key below the prefix is written
    Then all routers have the change within 20 ms

  Scenario: A dropped history is reported
    Given 2 routers that follow a prefix through one sidecar
    When 3 seconds pass without changes
    And the store drops its history while a key below the prefix is written
    Then all routers get an error from the sidecar, or have the key

  Scenario: A large change is passed on completely
    If each of 68 routers asked the store itself, it would have to send 27 MB at once.
    Given 2 routers that follow a prefix through one sidecar
    When 3 seconds pass without changes
    And 200000 bytes are written below the prefix
    Then all routers have the change within 20 ms
    And no router gets an error from the sidecar
