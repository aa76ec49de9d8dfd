Feature: All machines lose power at once
  No process keeps anything on a disk: after such a loss, what the store has is all that is known.

  Scenario Outline: Budgets hold over losses of power of the whole fleet, sidecars included
    Failure to guard against: the next lives hand out again what the lost ones had spent.
    The losses fall at random moments of bursts, into writes of grants too: some take effect after
    the loss, and the answers to some are lost.
    Given <routers> routers and <sidecars> sidecars whose account has 400000 tokens
    When the whole fleet loses power 4 times at random moments, with seeds 1 to 5
    Then no more tokens were spent than the account has
    And the store never had more tokens granted than the account has
    And what was granted to lost lives still covers what they had spent
    And each loss stranded no more than the stated bound
    And requests were admitted again within 3 seconds of each loss

    Examples:
      | routers | sidecars |
      | 4       | 2        |
      | 4       | 0        |
      | 1       | 1        |

  Scenario Outline: Losses of power overspend no account that is nearly used up
    Given <routers> routers and <sidecars> sidecars whose account has 100000 tokens
    When the whole fleet loses power 4 times at random moments, with seeds 1 to 5
    Then no more tokens were spent than the account has
    And the store never had more tokens granted than the account has
    And what was granted to lost lives still covers what they had spent
    And each loss stranded no more than the stated bound

    Examples:
      | routers | sidecars |
      | 4       | 2        |
      | 1       | 1        |
