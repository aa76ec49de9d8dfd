Feature: A router whose own link is slow
  What takes long because of this process or its link says nothing about the other side.

  Scenario: The keeper of an account is not given up for the router's own delay
    A router got half of its data centre's requests over a link of 10 Mbit/s.  Its calls to sidecars
    took longer than they may, so that it passed over the keeper of the account for two seconds, time
    after time: 341 requests were refused for want of budget, with a third of the total free.
    Given a router and 4 sidecars, one of which keeps the account
    When the router's own calls take 0.37 seconds for 6 seconds
    And 20 requests a second of 1000 tokens come for 6 seconds
    Then at most 6 of them were refused for want of budget

  Scenario: A keeper that alone is silent is given up
    Given a router and 4 sidecars, one of which keeps the account
    When the keeper of the account falls silent
    And 20 requests a second of 1000 tokens come for 6 seconds
    Then at most 12 of them were refused for want of budget
