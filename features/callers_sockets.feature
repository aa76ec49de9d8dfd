Feature: The HTTP interface on real sockets
  A smoke test over loopback of the behaviour that depends on the HTTP server itself.

  Scenario: A graceful stop cuts off no stream
    A router is stopped during a stream.  It accepts no new connection, continues the stream
    until the last event is sent, and only then ends.
    When the HTTP server is stopped while a stream is open
    Then the HTTP server accepts no new connection
    And the stream is completed and then the HTTP server ends

  Scenario: A stop ends at its time limit
    A stream never ends.  At the time limit of the stop its connection is closed without a
    valid end, and the server returns instead of cancelling other tasks.
    When the HTTP server is stopped and the stream exceeds the time limit
    Then the stream is cut off and the HTTP server returns

  Scenario: The end of an answer does not count as a disconnect
    The HTTP server reports the end of an answer and a closed connection by the same message.
    If the end is mistaken for a disconnect, the request is cancelled inside the server's last
    send: the connection is left unusable, and a stop counts the request as cut off.
    When a caller sends 20 chats over one connection and the HTTP server stops
    Then all 20 chats are complete, none disconnected and none cut off

  Scenario: The rest of a refused body is drained
    A body of many parts is refused as too large while its rest is still arriving.  The HTTP
    server queues ten parts for a request and then waits for it.  If the request stopped
    reading, it would wait for the server as well, and neither would ever end.
    When a caller sends 200 parts of a body that is too large after 50
    Then the body is refused as too large, and the HTTP server ends without cutting off a request

  Scenario: A closed connection closes the answer
    When the caller of an open stream closes its connection
    Then its answer is closed in the front

  Scenario: A cancelled stream closes the answer
    Many callers share a connection, so that only the end of the stream tells that one has left.
    When the caller of an open stream cancels it
    Then the front learns of it within half a second

  Scenario: A close behind a second request closes the answer
    Nothing is read from a connection while a request waits behind another one on it.
    When the caller of an open stream sends another request and closes its connection
    Then the front learns of it within half a second

  Scenario: A reset behind a second request closes the answer
    When the caller of an open stream sends another request and resets its connection
    Then the front learns of it within half a second

  Scenario: A close behind many requests closes the answer
    So much is unread that the event loop stops watching the connection.
    When the caller of an open stream sends 2000 more requests and closes its connection
    Then the front learns of it within half a second

  Scenario: A second request behind the first one is answered
    Otherwise the scenarios above would pass with a server that takes each second request for a close.
    When a caller sends two requests at once on one connection
    Then both are answered
