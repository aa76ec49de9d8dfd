Feature: The weight store's slots and the platform's list of instances
  Run in virtual time over a store in memory and a scripted list.

  Scenario: platform: Loads beyond the slots wait
    Three instances load for 10 seconds each; the weight store allows two loads at once.
    Given platform: 2 slots
    When platform: 3 instances load for 10 seconds each, waiting up to 60
    Then platform: all loads ended and at most 2 ran at once

  Scenario: platform: No slot becomes free before the deadline
    Given platform: 2 slots
    When platform: 3 instances load for 100 seconds each, waiting up to 20
    Then platform: 2 loads ended and 1 gave up

  Scenario: platform: The response to taking a slot is lost
    The loader holds the slot.  It finds its token when it reads back, and takes no second slot.
    Given platform: 2 slots
    When platform: the response is lost and 2 instances load for 10 seconds each, waiting up to 5
    Then platform: all loads ended and at most 2 ran at once

  Scenario: platform: A loader dies
    Its slot becomes free when its lease expires, and not earlier.
    Given platform: 1 slots
    When platform: a loader dies and another waits up to 60 seconds
    Then platform: the other began 29 to 32 seconds later

  Scenario: platform: A loader can't extend its lease
    The load is cancelled before its lease ends, after which another loader may hold the slot.
    The store goes down during the load, so no keep-alive arrives.
    Given platform: 1 slots
    When platform: the store goes down during a load of 100 seconds
    Then platform: the load was cancelled after 20 to 30 seconds

  Scenario: platform: A load fails
    The loader gets its own error, not one of the slot, and the slot is free at once.
    Given platform: 1 slots
    When platform: a load fails with its own error
    Then platform: the loader got that error and the slot is free

  Scenario: platform: The list of instances changes, becomes unreadable and is readable again
    The reader gets each change once.  An empty or undecodable response changes nothing: it
    does not mean that there are no instances.  An unchanged list is not sent again.
    Given platform: a list of instances with these responses in turn
      | status | body                                                            |
      | 200    | [{"instance": "r1", "state": "live"}]                           |
      | 304    |                                                                 |
      | 500    | oops                                                            |
      | 200    | {"broken                                                        |
      | 200    | [{"instance": "r1", "state": "leaving"}, {"instance": "r2", "state": "odd"}] |
    When platform: the list is followed for 30 seconds
    Then platform: the reader got "r1 live" and then "r1 leaving"
    And platform: the second request carried the ETag of the first response
