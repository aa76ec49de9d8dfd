Feature: Clients of backend servers
  A sidecar calls its engine over the OpenAI API, and relays calls to a plain service.

  Scenario: An engine's stream is relayed event by event and its usage is taken from it
    Given an engine behind its client
    When the client runs a streamed request for 5 tokens
    Then the engine's events arrive unchanged and end with DONE
    And the engine client reports 7 used tokens
    And the engine client left out the usage that the caller did not ask for

  Scenario: Events are complete however the network splits them
    Then events cut at any two bytes come out whole, with LF and with CRLF
    And an event that never ends is refused at its bound

  Scenario: A caller that asked for usage gets its event
    Given an engine behind its client
    When the client runs a streamed request for 5 tokens that asks for usage
    Then the engine client passed the usage on

  Scenario: The token limit is always sent to the engine
    Given an engine behind its client
    When the client runs a streamed request without a limit that may generate 3 tokens
    Then the engine was asked for at most 3 tokens
    And the engine heard the request id in a header

  Scenario: An answer that is not streamed carries its usage
    Given an engine behind its client
    When the client runs an unstreamed request for 5 tokens
    Then the engine client reports 7 used tokens

  Scenario: An engine that reports no usage is billed by a safe estimate
    Given an engine behind its client that reports no usage
    When the client runs a streamed request for 5 tokens
    Then the engine client reports no usage itself
    And the engine client estimates at least 7 used tokens and at most the bound

  Scenario: An engine that can't be reached never got the request
    The engine's process is gone: connections are refused. The caller may be told "not run".
    Given an engine behind its client that refuses connections
    When the client runs a streamed request for 5 tokens
    Then the engine client says that the request was never sent
    And the engine saw 0 requests

  Scenario: An engine that dies within an answer may have run it
    The connection breaks after two tokens. The received tokens are relayed, then the
    client reports the server as lost, never the request as not sent.
    Given an engine behind its client that dies after 2 tokens
    When the client runs a streamed request for 5 tokens
    Then the engine client says that the server was lost
    And the engine client had relayed 2 tokens and counted them

  Scenario: A stream that ends without its last event is not complete
    A network device closes the connection properly in the middle of a response. Without
    its last event it must not count as complete.
    Given an engine behind its client whose streams are cut after 2 tokens
    When the client runs a streamed request for 5 tokens
    Then the engine client says that the server was lost
    And the engine client had relayed 2 tokens and counted them

  Scenario: A connection that hangs within a response is detected by a time-out
    After two tokens no data arrives and the connection stays open, as when a network
    device has lost the connection's state.
    Given an engine behind its client that falls silent after 2 tokens
    When the client runs a streamed request for 5 tokens
    Then the engine client says that the server was lost
    And the engine client noticed it within 11 seconds

  Scenario: Closing the response cancels the request on the engine
    Given an engine behind its client
    When the client closes a streamed request after 2 tokens
    Then the engine hears of the cancel and stops generating

  Scenario: Load reports and orders pass the client
    Given an engine behind its client
    When the client orders the engine to load "furniture-tags" with fence 4
    Then the engine's load report names "furniture-tags"
    And the engine client is told that fence 3 is old when it orders again

  Scenario: A plain service gets what the caller sent, but for headers of one connection
    Given a plain service behind its client
    When the client passes a call with a cost of 3 tokens
    Then the service answered and the client reports 3 used tokens
    And the service got the caller's headers but for its key and those of one connection
