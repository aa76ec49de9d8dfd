Feature: Attempts to read a store that does not answer
  All routers read the store again and again while it is down.  A fixed pause of 0.1 s made 1,400 of
  a day's 5,200 calls in one outage of 4 s.

  Scenario Outline: Longer pauses spare the store that comes back
    Given <routers> routers that retry the store with pauses of up to <pause> seconds
    When the store is down for 4 seconds
    Then each router tried to read it at most <most> times

    Examples:
      | routers | pause | most |
      | 3       | 0.1   | 84   |
      | 23      | 0.5   | 24   |
      | 410     | 0.5   | 24   |

  Scenario: Changes made in an outage are in force soon after it
    With pauses that grow without a limit, a router would apply a change seconds after the others.
    Given 23 routers that retry the store with pauses of up to 0.5 seconds
    When the store is down for 9 seconds, and a server is registered at its end
    Then each router knows the server 0.6 seconds later

  Scenario: A short failure costs only the shortest pause
    Given 3 routers that retry the store with pauses of up to 0.5 seconds
    When the store is down for 4 seconds
    And the store is up for 5 seconds
    And the store is down for 0.05 seconds, and a server is registered at its end
    Then each router knows the server 0.2 seconds later

  Scenario: A pause out of range ends the start
    Then a retry pause of 5 seconds is rejected with the flag and its bounds
