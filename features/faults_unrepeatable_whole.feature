Feature: Faults at every step of a request (unrepeatable, whole)
  One request is struck once, at each step of its life in turn.  The caller
  sees an answer, an error or a broken connection; as long as it has no whole
  answer it asks again, at other routers, under the same key.  What was struck
  is healed half a minute later.  Then all promises are checked at rest.

  Scenario Outline: unrepeatable whole: <fault>
    When the fault matrix strikes with "<fault>" at every step of a unrepeatable whole request
    Then the fault matrix finds every promise kept
    And the fault matrix has struck at every step

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
