Feature: Fewer writes of grants
  An interval between the writes of a group of accounts lets one write serve several requests.

  Scenario Outline: Routers that meet an account together share writes
    Requests arrive at random within half a second.  Each router that is not on record yet caused a
    write.
    When 68 routers send <requests> requests within half a second, with and without an interval
    Then with the interval there were at most <share> of the calls to the store, with 5 seeds
    And no request was refused that was not refused without the interval
    And no request waited longer than 0.05 seconds

    Examples:
      | requests | share |
      | 68       | 0.25  |
      | 102      | 0.3   |
      | 136      | 0.3   |
      | 204      | 0.3   |

  Scenario Outline: A request does not wait for the end of a long interval
    Without the limit of its wait, the first request waited for 0.8 s.  After a lost answer it
    needs another write.
    When 2 routers send 2 requests with an interval of 1 second and <lost> lost answers
    Then no request was refused
    And no request waited longer than <seconds> seconds

    Examples:
      | lost | seconds |
      | 0    | 0.05    |
      | 1    | 0.1     |

  Scenario: The platform's settings file turns the interval on where hard load is announced
    Then the settings of both roles have an interval of 0.1 with the contract "pressure"
    And the settings of both roles have an interval of 0 with the contract "other"
