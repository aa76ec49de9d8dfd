Feature: Faults at every step of a request (unrepeatable, streamed)
  A fault is injected once into a request, at each step of its life cycle in turn.  The
  caller gets an answer, an error or a broken connection.  Until it has a whole answer, it
  retries at other routers with the same key.  The fault is repaired half a minute later.
  All promises are checked once the fleet is idle.

  Scenario Outline: unrepeatable streamed: <fault>
    When the fault matrix injects "<fault>" at every step of one unrepeatable streamed request
    Then the fault matrix finds every promise kept
    And the fault matrix has injected the fault at every step

    Examples: Faults
      | fault |
      | router dies |
      | holder dies |
      | sidecar dies |
      | backend server dies |
      | router pauses |
      | holder pauses |
      | sidecar pauses |
      | router and sidecar part |
      | router and holder part |
      | holder and sidecar part |
      | data centres part |
      | sidecar falls silent to router |
      | router falls silent to sidecar |
      | replies to router are lost |
      | messages of router come twice |
      | messages of router come late |
      | messages of router come again late |
      | chunks of sidecar come twice |
      | store is down |
      | store loses answers |
      | caller retries elsewhere |
      | first attempt is held up, caller retries elsewhere |
      | router is told to stop |
      | sidecar is told to stop |
