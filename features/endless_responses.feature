Feature: Bytes without end
  A server in trouble sends bytes that are no answer without end, in a head or a body, until its
  connection is closed.  Failure: a router held them in memory until the platform killed it, with all
  requests that it served.

  Scenario Outline: A response without an end is bounded, and the caller gets a truthful answer
    Given an endless server that answers a <kind> request with <bytes>
    When a router forwards it, with sound requests beside it
    Then the answer to its caller is: <answer>
    And the endless connection was closed
    And the router held at most 8 MB
    And each sound request was answered within 500 ms

    Examples:
      | kind      | bytes                               | answer           |
      | unsafe    | a success without end               | a broken success |
      | unsafe    | a chunked success without end       | a broken success |
      | unsafe    | a success of a huge length          | a broken success |
      | safe      | a success without end               | a broken success |
      | unsafe    | an error without end                | lost             |
      | unsafe    | a chunked error without end         | lost             |
      | safe      | an error without end                | the whole answer |
      | streamed  | an error without end                | lost             |
      | resumable | an error without end                | the whole answer |
      | unsafe    | a refusal without end               | lost             |
      | unsafe    | a header line without end           | lost             |
      | safe      | a header line without end           | the whole answer |
      | unsafe    | headers without end                 | lost             |
      | streamed  | headers without end                 | lost             |
      | unsafe    | interim responses without end       | lost             |
      | unsafe    | trailers without end                | lost             |
      | safe      | trailers without end                | the whole answer |
      | unsafe    | a chunk extension without end       | lost             |
      | unsafe    | chunks of one byte without end      | a broken success |
      | streamed  | an event without end                | lost             |
      | resumable | an event without end                | the whole answer |
      | streamed  | empty events without end            | a broken success |
      | unsafe    | an earlier response without end     | lost             |
      | unsafe    | bytes behind its answer without end | the whole answer |

  Scenario Outline: A slow response without an end lasts until the deadline
    Given an endless server that slowly answers a <kind> request with <bytes>
    When a router forwards it, with sound requests beside it
    Then the answer to its caller is: <answer>
    And the endless connection was closed
    And each sound request was answered within 500 ms

    Examples:
      | kind     | bytes                 | answer           |
      | unsafe   | a success without end | out of time      |
      | unsafe   | headers without end   | out of time      |
      | streamed | an event without end  | out of time      |

  Scenario Outline: Many responses without an end share one bound
    Failure: each of them kept to its own bound, and all of them together exceeded the memory.
    Given an endless server that answers 100 <kind> requests with <bytes>
    When a router forwards them to callers that read slowly, with sound requests beside them
    Then the router held at most 64 MB
    And each sound request was answered within 1000 ms

    Examples:
      | kind      | bytes                          |
      | unsafe    | a success without end          |
      | unsafe    | an error without end           |
      | unsafe    | chunks of one byte without end |
      | streamed  | an event without end           |
      | streamed  | headers without end            |

  Scenario: A large sound response reaches a slow caller whole
    Given an endless server that answers a unsafe request with a sound body of 24 MB
    When a router forwards it to a caller that reads slowly
    Then its caller got the whole large body
    And the router held at most 8 MB

  Scenario Outline: A large response that ends early is told as broken, and not sent again
    Given an endless server that answers a <kind> request with a body that breaks off after 24 MB
    When a router forwards it, with sound requests beside it
    Then the answer to its caller is: a broken success
    And it was sent to one server

    Examples:
      | kind   |
      | safe   |
      | unsafe |

  Scenario Outline: A router process stays within the memory of a small machine
    Failure: the platform kills a process that exceeds its memory, with all that it serves.
    Given a router process before a server whose responses do not end
    When it forwards 60 requests to responses of status <status>, to callers that read <pace>
    Then each of them got status <told>
    And the process had at most 200 MB
    And it answered each sound request within 1000 ms

    Examples:
      | status | pace   | told |
      | 200    | slowly | 200  |
      | 200    | fast   | 200  |
      | 500    | fast   | 502  |
