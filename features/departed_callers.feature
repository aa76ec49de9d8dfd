Feature: Callers that leave
  Work for a caller ends when the caller is gone: its request is not sent any more, and what was sent
  is given up at the server.

  Scenario Outline: A request is not sent on after its caller has left
    Given a request that is <place>
    When its caller <way>
    Then nothing is sent for it any more
    And its tokens are free again

    Examples:
      | place               | way                  |
      | unread              | closes unseen        |
      | unread              | resets               |
      | unread              | pipelines and closes unseen |
      | reading             | closes               |
      | reading             | resets               |
      | budget              | closes               |
      | budget              | resets               |
      | budget              | closes unseen        |
      | budget              | pipelines and closes |
      | budget, drawn ahead | closes               |
      | budget, drawn ahead | resets               |
      | budget, drawn ahead | closes unseen        |
      | budget, drawn ahead | pipelines and closes |
      | slot                | closes               |
      | slot                | resets               |
      | slot                | closes unseen        |
      | slot                | pipelines and closes |
      | admission           | closes               |
      | admission           | resets               |
      | admission           | closes unseen        |
      | admission           | pipelines and closes |
      | connecting          | closes               |
      | connecting          | resets               |
      | connecting          | closes unseen        |
      | connecting          | pipelines and closes |
      | retrying            | closes               |
      | retrying            | resets               |
      | retrying            | closes unseen        |
      | retrying            | pipelines and closes |
      | resuming            | closes               |
      | resuming            | resets               |
      | resuming            | closes unseen        |
      | resuming            | pipelines and closes |

  Scenario: Tokens are not drawn any more for a caller that has left
    An allocator that has no tokens yet says so again and again.  Draws that go on for as long as it does
    hold up the account's other requests.
    Given a request that is lacking tokens
    When its caller closes
    Then the allocator is not asked again

  Scenario: A request does not wait for tokens without end
    Given a request that is lacking tokens
    When its caller waits for an answer
    Then it is refused as not run within 1 second

  Scenario Outline: A request whose caller stays is sent on
    Otherwise the scenarios above would pass with requests that go nowhere.
    Given a request that is <place>
    When its caller stays
    Then it is sent once more

    Examples:
      | place               |
      | unread              |
      | budget              |
      | budget, drawn ahead |
      | slot                |
      | admission           |
      | connecting          |
      | retrying            |
      | resuming            |

  Scenario Outline: A request that was sent is given up at its server when its caller leaves
    Given a request that is <place>
    When its caller <way>
    Then its server sees the end of it within 0.5 seconds
    And nothing is sent for it any more

    Examples:
      | place       | way                  |
      | sent        | closes               |
      | sent        | resets               |
      | sent        | pipelines and closes |
      | sent unsafe | closes               |
      | sent unsafe | resets               |
      | sent unsafe | pipelines and closes |
      | streaming   | closes               |
      | streaming   | resets               |
      | streaming   | pipelines and closes |

  Scenario: A stream that its caller never reads is given up
    The connection stays open, so that only the unread bytes tell that nobody is there.
    Given a request that is flooding
    When its caller reads nothing for the time limit of unread answers
    Then its server sees the end of it within 2.5 seconds

  Scenario: A caller that closes while its answer fills the socket is noticed at once
    Given a request that is flooding
    When its caller closes
    Then its server sees the end of it within 0.5 seconds

  Scenario: A busy router gives up the work of a caller that left within half a second
    Each turn of the event loop takes 0.1 s, and each step from the close to the server takes a turn.
    Given a request that is sent
    When its caller closes while each turn of the event loop takes 0.1 seconds
    Then its server sees the end of it within 0.5 seconds

  Scenario: Bytes that the server has not read when the caller leaves are not delivered later
    The server's machine reads nothing for a while.  The request is in the router's socket, from which
    it would still be sent after an orderly close.
    Given a request with a large body to a server that does not read
    When its caller closes, and the server reads again after that
    Then nothing is sent for it any more

  Scenario: A refused request whose body is unread leaves nothing behind
    Given a request that is refused
    When its caller closes
    Then nothing is sent for it any more

  Scenario: A caller that leaves and asks again is served once
    The first request is given up, and has no effect on the second one with the same body.
    Given a request that is repeated
    When its caller closes
    Then its server sees the end of it within 0.5 seconds
    And the second request is answered
