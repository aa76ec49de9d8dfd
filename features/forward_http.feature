Feature: The listener of a forwarding router
  What a caller sends reaches the application as it was sent, within the declared limits.

  Background:
    Given the listener of a forwarding router

  Scenario: Requests on one connection are answered in their order
    When a caller sends: POST /a%20b//c;d?x=%2F&y HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhiPOST /two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nyo\r\n0\r\n\r\n
    Then the application was asked: POST /a%20b//c;d?x=%2F&y hi, POST /two yo
    And the caller got 2 whole answers

  Scenario: A stream that breaks off does not look complete
    When a caller sends: GET /cut HTTP/1.1\r\nHost: a\r\n\r\n
    Then the caller got no whole answer

  Scenario Outline: A request that can be read in two ways is refused
    One reader finds the end of the body where another finds a second request, which nobody checked.
    When a caller sends: POST /a HTTP/1.1\r\nHost: a\r\n<framing>\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n
    Then the application was asked nothing
    And the caller was told that its request is bad

    Examples:
      | framing                                              |
      | Content-Length: 5\r\nTransfer-Encoding: chunked      |
      | Content-Length: 5\r\nContent-Length: 6               |
      | Content-Length: 5, 6                                 |
      | Content-Length : 5                                   |
      | Transfer-Encoding: xchunked                          |
      | Transfer-Encoding: chunked, identity                 |

  Scenario: Bytes behind a request don't spoil its answer
    They are no request.  Refused at once, the refusal would stand in the middle of the answer under
    way, or in its place though the request ran.
    When a caller sends: GET /a HTTP/1.1\r\nHost: a\r\n\r\n\x00what is this
    Then the application was asked: GET /a
    And the caller got the status 200
    And the caller got 1 whole answers

  Scenario: A body that can't be read is refused at once
    When a caller sends: POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nwhat is this
    Then the application was asked nothing
    And the caller got the status 400

  Scenario: A head that is longer than the limit is refused
    When a caller sends a head of 4000 bytes
    Then the application was asked nothing
    And the caller got the status 431

  Scenario Outline: A connection that is idle for too long is closed
    When <what>
    Then the connection was closed after 0.25 to 5 seconds

    Examples:
      | what                                                     |
      | a caller connects and sends nothing                      |
      | a caller sends: GET /a HTTP/1.1\r\nHost: a\r\n\r\n       |

  Scenario: The application is told that its caller left
    When a caller leaves before its answer
    Then the application was asked: GET /left 

  Scenario: A stop closes idle connections and lets answers end
    When the router stops while one connection is idle and one has an answer under way
    Then the caller got 1 whole answers
