Feature: Retries stay within the budget of their service
  All routers together may send a service 0.2 retries for each request of a window of 10 s, and a fixed
  number more. A router grants its retries from its own share, without asking anybody.

  Scenario Outline: <routers> routers retry while <fault>
    The counts of a router lay in its process, and the slack was divided by the routers that it
    believed live: one that had just started had its share anew, or took all of it.
    Given <routers> routers that retry as much as they may
    When <fault> in their fleet
    Then no window has more retries than the budget of its service

    Examples: Few routers
      | routers | fault |
      | 3 | one router after the other is killed and starts again |
      | 3 | half of the routers are killed and start again |
      | 3 | all routers are killed and start again |
      | 3 | all routers are killed twice within a window |
      | 3 | routers are killed and start again at other addresses |
      | 3 | routers stop one after the other, and others start |
      | 3 | the fleet grows by half |
      | 3 | the fleet shrinks to a third |
      | 3 | routers start again and see themselves alone |
      | 3 | half of the routers are cut off, and more start beside the others |
      | 3 | the lists of routers are late while routers come and go |
      | 3 | the traffic falls to a tenth |
      | 3 | the traffic moves between the routers |
      | 3 | an idle service becomes hot |
      | 3 | the store is down |
      | 3 | nothing happens |

    Examples: Many routers
      | routers | fault |
      | 61 | one router after the other is killed and starts again |
      | 61 | half of the routers are killed and start again |
      | 61 | all routers are killed and start again |
      | 61 | all routers are killed twice within a window |
      | 61 | routers are killed and start again at other addresses |
      | 61 | routers stop one after the other, and others start |
      | 61 | the fleet grows by half |
      | 61 | the fleet shrinks to a third |
      | 61 | routers start again and see themselves alone |
      | 61 | half of the routers are cut off, and more start beside the others |
      | 61 | the lists of routers are late while routers come and go |
      | 61 | the traffic falls to a tenth |
      | 61 | the traffic moves between the routers |
      | 61 | an idle service becomes hot |
      | 61 | the store is down |
      | 61 | nothing happens |

  Scenario Outline: <routers> routers retry in play <seed>, in which anything happens in any order
    Given <routers> routers that retry as much as they may in play <seed>
    When anything happens in any order in their fleet
    Then no window has more retries than the budget of its service

    Examples:
      | routers | seed |
      | 3 | 1 |
      | 3 | 2 |
      | 3 | 3 |
      | 3 | 4 |
      | 3 | 5 |
      | 3 | 6 |
      | 3 | 7 |
      | 3 | 8 |
      | 61 | 1 |
      | 61 | 2 |

  Scenario Outline: The plays find the fault with the shares that <routers> routers had before
    Given <routers> routers with the former shares in play 1
    When all routers are killed twice within a window in their fleet
    Then a window has more retries than the budget of its service

    Examples:
      | routers |
      | 3       |
      | 61      |

  Scenario Outline: <routers> routers are granted as many retries as with the former shares
    Given <routers> routers that retry as much as they may
    When nothing happens in their fleet
    Then the shares of granted retries are at least the former ones, in peace and while servers fail

    Examples:
      | routers |
      | 3       |
      | 61      |

  Scenario Outline: A router that starts beside <others> others has retries within a window
    Given <routers> routers that retry as much as they may
    When a router starts again in their fleet
    Then it is granted a retry within 10 seconds of its start

    Examples:
      | routers | others |
      | 3       | 2      |
      | 61      | 60     |
