Feature: What servers report about themselves proves which incarnation a connection leads to
  A server may start again under its id and address, with another software version and with its former
  entry still in the store.

  Scenario: A kept connection is asked once
    Given a server that reports when it was born
    When it gets 3 streams in turn
    Then 3 streams were read whole after 1 reports

  Scenario: Connections that are opened beside a stream need no report of their own
    Given a server that reports when it was born
    When it gets 6 streams, each before the end of the one before
    Then 6 streams were read whole after 1 reports

  Scenario: A server that has started again gets no stream for its former incarnation
    Given a server that reports when it was born
    When it starts again and gets 2 streams in turn
    Then 0 streams were read whole after 2 reports

  Scenario: A broken connection shuts no server out that reports when it was born
    Given a server that reports when it was born
    When it breaks a stream and gets 2 streams in turn
    Then 2 streams were read whole after 2 reports

  Scenario Outline: A server that reports <report> is used until a connection breaks
    Given a server that reports <report>
    When it gets 2 streams in turn
    Then 2 streams were read whole after 1 reports
    When it breaks a stream and gets 2 streams in turn
    Then 2 streams were read whole after 1 reports

    Examples:
      | report                   |
      | nothing                  |
      | no time of birth         |
      | a birth that is text     |
      | brackets without end     |
      | more than it may         |
      | nothing and closes       |

  Scenario: A server that does not answer for its report gets no stream
    Given a server that reports never
    When it gets 1 streams in turn
    Then 0 streams were read whole after 1 reports

  Scenario: A server that closes its connection behind a report is asked on another
    Given a server that reports when it was born, and closes once
    When it gets 2 streams in turn
    Then 2 streams were read whole after 2 reports

  Scenario: A late refusal is not taken for a report
    Failure: a server with a repeated refusal of an earlier request counted as one that reports nothing,
    while streams went to another incarnation.
    Given a server that reports when it was born, behind a late refusal
    When it starts again and gets 2 streams in turn
    Then 0 streams were read whole after 3 reports

  Scenario: A connection that ends before its report takes no server out of use
    Failure: a kept connection that its server was closing made the server unreachable for all requests.
    Given a server that reports when it was born, and once closes instead
    When it gets 2 streams in turn
    Then 2 streams were read whole after 2 reports

  Scenario: A server is told the time that is left after its report
    Failure: the time left was taken before the report, which may take a second.
    Given a server that reports when it was born, after 0.6 seconds
    When it gets a stream with 3 seconds left
    Then it was told at most 2450 ms
