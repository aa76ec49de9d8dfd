Feature: Streams keep their version while everything around them fails
  Routers and sidecars die, stop and start, links are cut, the store is away, servers crash and versions are
  released and retired, in any order and at once; callers come back at random routers.

  Scenario Outline: Streams of a seeded play
    When streams are taken up again and again in play <seed>
    Then no stream has events of two versions
    And at least half of the streams are complete

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
