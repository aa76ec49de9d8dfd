Feature: Connections to the store
  A router that takes 64 shards calls the store for all of them at once.  Over HTTP/1.1 each open
  call needs its own connection, and the store has to serve the connections of 410 routers.

  Scenario: platform connections: Many calls at once
    All get a response, and the store has 16 connections from this instance.
    Given platform connections: a store that takes 0.05 seconds over a call
    When platform connections: 275 keys are written at once with 10 seconds
    Then platform connections: all 275 are stored, and 16 calls were open at the most

  Scenario: platform connections: A watch begins while all connections are taken
    The watcher gets the change without delay.  If a watch waited for a connection as calls do, or
    a call took the connection of a watch, calls and watches would starve each other.
    Given platform connections: a store that takes 2 seconds over a call
    When platform connections: 64 keys are written at once with 10 seconds
    And platform connections: "a" is watched meanwhile and changes after 1 seconds
    Then platform connections: the watch reported it after 1 to 1.1 seconds

  Scenario: platform connections: Calls wait until their deadline
    The store does not respond, and 16 calls hold all connections.  These are "unsure".  The others
    are "unreachable": they were never sent, so nothing has to be read back.
    Given platform connections: a store that takes 60 seconds over a call
    When platform connections: 64 keys are written at once with 3 seconds
    Then platform connections: 16 were unsure and 48 unreachable, and 16 were sent
    When platform connections: the store takes 0.05 seconds over a call
    And platform connections: 64 keys are written at once with 3 seconds
    Then platform connections: all 64 are stored, and 16 calls were open at the most

  Scenario: platform connections: Over real sockets
    The server counts the connections by the ports that calls come from.
    When platform connections: 64 keys are written at once over sockets, with a watch
    Then platform connections: the watch reported a write, and at most 17 connections were used
