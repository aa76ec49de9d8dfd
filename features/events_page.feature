Feature: The page of log events
  Support engineers look events up in docs/EVENTS.md; an event that is logged and
  not listed there sends them into the code.

  Scenario: The page of events lists what the code declares
    When the events page is made from the code
    Then the events page on file is the same
    And the events page has each number and each name once
