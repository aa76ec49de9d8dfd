Feature: The listener of a forwarding router
  Requests reach the application unchanged, within the declared limits.

  Background:
    Given the listener of a forwarding router

  Scenario: Requests on one connection are answered in their order
    When a caller sends: POST /a%20b//c;d?x=%2F&y HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhiPOST /two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nyo\r\n0\r\n\r\n
    Then the application got: POST /a%20b//c;d?x=%2F&y hi, POST /two yo
    And the caller got 2 whole answers

  Scenario: A stream that breaks off does not look complete
    When a caller sends: GET /cut HTTP/1.1\r\nHost: a\r\n\r\n
    Then the caller got no whole answer

  Scenario Outline: A request that can be read in two ways is refused
    One parser finds the end of the body where another finds a second request, which was not checked.
    When a caller sends: POST /a HTTP/1.1\r\nHost: a\r\n<framing>\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n
    Then the application got no request
    And the caller got an error about its request

    Examples:
      | framing                                              |
      | Content-Length: 5\r\nTransfer-Encoding: chunked      |
      | Content-Length: 5\r\nContent-Length: 6               |
      | Content-Length: 5, 6                                 |
      | Content-Length : 5                                   |
      | Transfer-Encoding: xchunked                          |
      | Transfer-Encoding: chunked, identity                 |

  Scenario: Invalid bytes after a request don't corrupt its answer
    If they were refused at once, the refusal would be sent in the middle of the unfinished answer, or
    in its place although the request ran.
    When a caller sends: GET /a HTTP/1.1\r\nHost: a\r\n\r\n\x00what is this
    Then the application got: GET /a
    And the caller got the status 200
    And the caller got 1 whole answers

  Scenario: A body that can't be read is refused at once
    When a caller sends: POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nwhat is this
    Then the application got no request
    And the caller got the status 400

  Scenario: A head that is longer than the limit is refused
    When a caller sends a head of 4000 bytes
    Then the application got no request
    And the caller got the status 431

  Scenario Outline: A connection that is idle for too long is closed
    When <what>
    Then the connection was closed after 0.25 to 5 seconds

    Examples:
      | what                                                     |
      | a caller connects and sends nothing                      |
      | a caller sends: GET /a HTTP/1.1\r\nHost: a\r\n\r\n       |

  Scenario: The application is notified that its caller disconnected
    When a caller disconnects before its answer
    Then the application got: GET /left 

  Scenario: A stop closes idle connections and lets answers complete
    When the router stops while one connection is idle and one has an unfinished answer
    Then the caller got 1 whole answers

  Scenario: More connections than the descriptors of a router allow are closed unread
    The balancer sends most new connections of a data centre to one router for a while. With all its
    descriptors taken by callers, it could not connect to any server for what it had read.
    Given it takes 20 connections at a time
    When 60 callers connect at once, and one more after them
    Then 20 of them have whole answers, and 40 were closed unread
    And the caller got 1 whole answers

  Scenario: A router that stops amid such connections answers what it has read
    Given it takes 20 connections at a time
    When 60 callers connect at once while the router stops
    Then 20 of them have whole answers, and 40 were closed unread
