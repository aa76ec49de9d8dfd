Feature: Virtual time
  Tests run on an event loop whose time advances only while all tasks wait.

  Scenario: An hour of sleep takes no real time and is measured exactly
    When a task sleeps for 3600 seconds
    Then the clock has advanced by 3600 seconds
