Feature: Routing under load
  Routers before fake engines that batch continuously, on seeded traces, in virtual time.

  Scenario Outline: The goal holds at full capacity
    When routing under load runs <firm> at full capacity
    Then routing under load gave 95 in 100 first tokens within 0.81 s
    And routing under load kept 27 ms between tokens for 95 in 100
    And routing under load refused nothing

    Examples:
      | firm     |
      | azulejo  |
      | nestkala |

  Scenario: First tokens come earlier than with every baseline
    When routing under load runs azulejo at full capacity with each policy
    Then routing under load gave first tokens earlier than round_robin, least_outstanding and prefix_hash

  Scenario: Overload costs no goodput
    Half as much again is asked for as there is capacity.  Admitted without choice, most
    answers would be late, and the work on them lost.
    When routing under load runs azulejo at 1.5 times its capacity
    Then routing under load gave at least 95 % of the tokens of full capacity in time

  Scenario: An engine dies in silence while there is room elsewhere
    Its streams just stop; no connection breaks.  Routers find out after two seconds, run
    again elsewhere what may be repeated, and nobody is refused.
    When routing under load runs azulejo at half its capacity with one engine dead
    Then routing under load refused nothing
    And routing under load failed nothing

  Scenario: An engine leaves while there is room elsewhere
    When routing under load runs nestkala at half its capacity with one engine leaving
    Then routing under load refused nothing
    And routing under load gave 95 in 100 first tokens within 0.81 s

  Scenario: The same seed gives the same figures
    When routing under load runs azulejo twice
    Then routing under load gave the same figures twice
