Feature: Placing forwarded requests
  Each policy replays the same load; what ours gains is compared in the same run.

  Scenario Outline: Shared parts of prompts stay where they were read
    Requests share long parts of prompts, and five routers see a fifth of them each.
    When 6 engines and 5 routers carry 50 requests a second for 40 seconds, <hot> of 100 of one subject
    Then earliest_first_event reads at least <less> of 100 fewer shared tokens than <baseline>
    And earliest_first_event is late no more often than <baseline>

    Examples:
      | hot | less | baseline          |
      | 0   | 75   | round_robin       |
      | 0   | 50   | least_outstanding |
      | 30  | 50   | least_outstanding |

  Scenario Outline: Routers tell each other where shared parts went
    A router meets one in five requests about a subject.  Going by what it sent itself, it
    sends the next one to an engine that has to read what another engine holds.
    When 6 engines and 5 routers carry 50 requests a second for 40 seconds, <hot> of 100 of one subject
    Then earliest_first_event reads at least <less> of 100 fewer shared tokens than untold

    Examples:
      | hot | less |
      | 0   | 8    |
      | 30  | 20   |
      | 50  | 25   |

  Scenario: A subject that half of all requests are about is spread
    Placed by its home alone, it would queue at one engine, and its callers would wait.
    When 6 engines and 5 routers carry 60 requests a second for 20 seconds, 50 of 100 of one subject
    Then earliest_first_event is late at most half as often as prefix_hash

  Scenario: Large prompts that arrive together are spread
    Eight large prompts come within 0.1 s, at several routers.  Each router takes the engine
    that was least busy when it last heard of the others: all take the same one, and the
    callers whose prompts are read last wait.
    When 6 engines and 5 routers carry 150 bursts of large prompts
    Then at most a third as many are late when large prompts are told at once as when not
    And at most 3 of 100 are late when large prompts are told at once

  Scenario: Many routers with few requests each don't all take the engine that was idle last
    Each of 22 routers has four prompts a second, and hears of the others once in a second.
    One engine begins to read a long prompt; until the next word the other routers send theirs
    behind it.  The sidecar beside the engine knows, and is asked for each prompt.
    When 21 engines and 22 routers carry 90 prompts a second for 40 seconds, hearing of each other late
    Then at most a third as many are late when the sidecars beside the engines are asked
    And at most 5 of 100 are late when they are asked

  Scenario: A server that fails is met less often, and again when it is mended
    When one of 3 plain servers fails all its requests for 5 seconds
    Then it is met by at most 10 of 100 requests while it fails
    And by at least 20 of 100 from 20 seconds after it is mended
