Feature: Retries stay within the budget of their service with as many routers as the fleet is designed for
  Each of 410 routers has fewer than two retries of the slack, and counts 60 requests in a window.

  Scenario Outline: 410 routers retry while <fault>
    Given 410 routers that retry as much as they may
    When <fault> in their fleet
    Then no window has more retries than the budget of its service

    Examples:
      | fault |
      | all routers are killed twice within a window |
      | half of the routers are killed and start again |
      | routers start again and see themselves alone |

  Scenario: 410 routers are granted as many retries as with the former shares
    Given 410 routers that retry as much as they may
    When a router starts again in their fleet
    Then it is granted a retry within 10 seconds of its start
    And the shares of granted retries are at least the former ones, in peace and while servers fail
