Feature: Answers that end with their connection
  An answer may have neither a length nor chunks. Its connection ends it, unless that is reset; a stream that
  ends inside an event has been broken off, however its connection ends.

  Scenario Outline: A whole answer is passed on whole
    Given a server whose <kind> answer has no length and ends whole, closed
    When a router forwards a request to it
    Then its caller has the whole answer after 1 sendings

    Examples:
      | kind      |
      | unsafe    |
      | safe      |
      | streamed  |
      | resumable |

  Scenario Outline: An answer that breaks off is got from another server where it may be
    Half of an answer was taken for a whole one.
    Given a server whose <kind> answer has no length and ends <ending>
    When a router forwards a request to it
    Then its caller has the whole answer after 2 sendings

    Examples:
      | kind      | ending                  |
      | safe      | midway, reset           |
      | resumable | between events, reset   |
      | resumable | inside an event, reset  |
      | resumable | inside an event, closed |

  Scenario: A stream in chunks that ends inside an event is resumed
    Given a server whose resumable answer has no length and ends inside an event, chunked
    When a router forwards a request to it
    Then its caller has the whole answer after 2 sendings

  Scenario Outline: A stream that can't be resumed is never told as complete
    Given a server whose streamed answer has no length and ends <ending>
    When a router forwards a request to it
    Then its caller has a broken stream of whole events

    Examples:
      | ending                   |
      | between events, reset    |
      | inside an event, reset   |
      | inside an event, closed  |
      | inside an event, chunked |

  Scenario: Half of an answer that may not be repeated is not passed on
    Given a server whose unsafe answer has no length and ends midway, reset
    When a router forwards a request to it
    Then its caller is told that it may have run
