Feature: A router whose own link is slow
  Delays caused by this process or its link say nothing about the other side.

  Scenario: The allocator of an account is not avoided because of the router's own delay
    A router got half of its data centre's requests over a link of 10 Mbit/s.  Its calls to sidecars
    exceeded their time limit, so that it repeatedly avoided the allocator of the account for two
    seconds: 341 requests were refused for lack of budget, with a third of the total free.
    Given a router and 4 sidecars, one of which owns the account
    When the router's own calls take 0.37 seconds for 6 seconds
    And 20 requests a second of 1000 tokens come for 6 seconds
    Then at most 6 of them are refused for lack of budget

  Scenario: An allocator is avoided if it alone does not answer
    Given a router and 4 sidecars, one of which owns the account
    When the allocator of the account stops answering
    And 20 requests a second of 1000 tokens come for 6 seconds
    Then at most 12 of them are refused for lack of budget
