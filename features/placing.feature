Feature: Placement of forwarded requests
  All policies replay the same load, and ours is compared with the baselines in the same run.

  Scenario Outline: Shared prompt parts stay on the engine that has them cached
    Requests share long parts of prompts, and each of five routers sees a fifth of them.
    When 6 engines and 5 routers carry 50 requests a second for 40 seconds, <hot> of 100 about one subject
    Then earliest_first_event processes at least <less> of 100 fewer shared tokens than <baseline>
    And earliest_first_event is late no more often than <baseline>

    Examples:
      | hot | less | baseline          |
      | 0   | 75   | round_robin       |
      | 0   | 50   | least_outstanding |
      | 30  | 50   | least_outstanding |

  Scenario Outline: Routers report to each other where they sent shared parts
    A router gets one in five requests about a subject.  Knowing only its own requests, it sends
    the next one to an engine without the part although another engine has it cached.
    When 6 engines and 5 routers carry 50 requests a second for 40 seconds, <hot> of 100 about one subject
    Then earliest_first_event processes at least <less> of 100 fewer shared tokens than without reports

    Examples:
      | hot | less |
      | 0   | 8    |
      | 30  | 20   |
      | 50  | 25   |

  Scenario: Requests about a very frequent subject are spread over engines
    Half of all requests are about one subject.  Placed on the home of its shared part only, they
    would queue at one engine, and their callers would wait.
    When 6 engines and 5 routers carry 60 requests a second for 20 seconds, 50 of 100 about one subject
    Then earliest_first_event is late at most half as often as prefix_hash

  Scenario: Simultaneous large prompts are spread over engines
    Eight large prompts arrive at several routers within 0.1 s.  Each router chooses the engine
    that was least busy in the last reports: all choose the same one, and the callers whose
    prompts are processed last wait.
    When 6 engines and 5 routers carry 150 bursts of large prompts
    Then at most a third as many are late when large prompts are reported at once as when not
    And at most 3 of 100 are late when large prompts are reported at once

  Scenario: Many routers with few requests each don't all choose the engine that was idle last
    Each of 22 routers gets four prompts per second, and reports of the others once per second.
    Once an engine starts on a long prompt, the other routers send theirs behind it until the next
    report.  The sidecar beside the engine has the current load and is asked for each prompt.
    When 21 engines and 22 routers carry 90 prompts a second for 40 seconds, with late reports from each other
    Then at most a third as many are late when the sidecars beside the engines are asked
    And at most 5 of 100 are late when they are asked

  Scenario: A failing server gets fewer requests, and its share again when it is repaired
    When one of 3 plain servers fails all its requests for 5 seconds
    Then it gets at most 10 of 100 requests while it fails
    And it gets at least 20 of 100 from 20 seconds after it is repaired
