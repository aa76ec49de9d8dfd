Feature: Connections to backend servers
  A connection carries one request at a time, and all data from the server belongs to the response to
  it.  A connection with any other data is not reused.

  Scenario: A connection is reused, and a request target is sent unchanged
    Given a server whose answers are: whole, chunked, whole
    When it is sent a request for each
    Then the router got: body, body, body
    And 1 connections were opened
    And its target arrived as it was sent

  Scenario Outline: A response that ends early is not complete
    The caller would take half a board for a whole one.
    Given a server whose answers are: <broken>, whole
    When it is sent a request for each
    Then the router got: lost, body
    And 2 connections were opened

    Examples:
      | broken      |
      | short       |
      | unfinished  |
      | until reset |
      | closed      |
      | no answer   |

  Scenario: A response without a length ends with its connection
    Given a server whose answers are: until closed, whole
    When it is sent a request for each
    Then the router got: body, body
    And 2 connections were opened

  Scenario Outline: Extra data after a response is discarded
    The complete response is relayed.  Read as the next response, the extra data would reach the caller
    of another request.
    Given a server whose answers are: <extra>, whole
    When it is sent a request for each
    Then the router got: body, body
    And 2 connections were opened

    Examples:
      | extra        |
      | stray        |
      | doubled      |
      | doubled late |
      | closes after |

  Scenario Outline: A late repetition is passed over, and the own response behind it is relayed
    Failure: a request that may not be repeated ended with an error, though its server responded to
    it right behind the repetition.
    Given a server whose answers are: whole, <late>, whole
    When it is sent a request for each
    Then the router got: body, body, body
    And 2 connections were opened

    Examples:
      | late            |
      | repeats         |
      | repeats slowly  |
      | repeats refusal |

  Scenario Outline: A response is relayed only if it certainly begins behind a whole repetition
    Failure: bytes from the middle of other data would reach the caller as its response.
    Given a server whose answers are: whole, <late>, whole
    When it is sent a request for each
    Then the router got: body, <got>, body
    And 2 connections were opened

    Examples:
      | late               | got       |
      | repeats twice      | another's |
      | repeats unframed   | another's |
      | repeats and closes | lost      |
      | repeats and strays | lost      |
      | repeats and breaks | lost      |
      | unknown            | another's |
      | unnamed            | another's |

  Scenario: A connection whose reading is paused is not reused
    Failure: the body of a refusal was complete but not read, so that reading stayed paused, and the
    next request on the connection waited for its deadline.
    Given a server whose answers are: declines, whole
    When it is sent a request for each
    Then the router got: declined, body
    And 2 connections were opened

  Scenario: An interim response is skipped
    Given a server whose answers are: interim, whole
    When it is sent a request for each
    Then the router got: body, body
    And 1 connections were opened

  Scenario: A server that answers before it has read a large body
    It must receive the rest of that body before the next request.
    Given a server whose answers are: early, early
    When it is sent a request of 3 MB for each
    Then the router got: body, body
    And each request arrived as it was sent, with its large body

  Scenario: A cancelled request closes its connection at once
    Given a server whose answers are: silence
    When it is sent a request that is given up
    Then the server saw its connection closed

  Scenario: A server whose process has ended is distinguished from a running one
    Both may break a connection; only the first case counts as a crash under the request.
    Given a server whose answers are: whole, whole
    When it is looked at, sent a request for each, ended, and looked at again
    Then it listened before and refused after
    And the router got: body, body
    And 1 connections were opened
