Feature: One poll of the store for many routers
  Routers that follow the same prefix through one sidecar cost the store what one of them would.

  Scenario: Many routers cost no more calls than one
    Given 22 routers that follow a prefix through one sidecar
    When 10 seconds go by without changes
    Then the store was polled at most 12 times

  Scenario: A change is told to all at once
    Given 22 routers that follow a prefix through one sidecar
    When 3 seconds go by without changes
    And a key below the prefix is written
    Then all routers know it within 20 ms

  Scenario: A router that is behind misses nothing
    A router that was busy asks from a version before those that the sidecar follows from.  Told
    only what came after, it would never hear of a server that left.
    Given 2 routers that follow a prefix through one sidecar
    When a key below the prefix is written
    And 2 seconds go by without changes
    Then a router that asks from the beginning is told of it

  Scenario: A store that falls silent is noticed in time
    The sidecar's connection to the store goes silent for good.  The routers have to ask the store
    directly soon enough to have a change in force within 2 s.
    Given 22 routers that follow a prefix through one sidecar
    When 3 seconds go by without changes
    And the sidecar's store falls silent
    Then all routers are told within 1500 ms that the sidecar does not know

  Scenario: The prefix is followed again when the store is back
    Given 22 routers that follow a prefix through one sidecar
    When the sidecar's store falls silent
    And 5 seconds go by without changes
    And the sidecar's store answers again
    And 3 seconds go by without changes
    And a key below the prefix is written
    Then all routers know it within 20 ms

  Scenario: A history that is dropped is not hidden
    Given 2 routers that follow a prefix through one sidecar
    When 3 seconds go by without changes
    And the store drops its history while a key below the prefix is written
    Then all routers are told that the sidecar does not know, or know the key

  Scenario: A large change is passed on whole
    Had each router asked the store itself, 68 of them would have been sent 27 MB at one moment.
    Given 2 routers that follow a prefix through one sidecar
    When 3 seconds go by without changes
    And 200000 bytes are written below the prefix
    Then all routers know it within 20 ms
    And no router is told that the sidecar does not know
