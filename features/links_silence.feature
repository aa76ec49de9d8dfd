Feature: Links between instances that fall silent
  Open connections can go silent for good while new ones work.  All of this runs in
  virtual time over connections in memory.

  Scenario: links: A link went silent while nobody used it
    The caller sees an ordinary answer, 0.3 seconds late.
    The link carried a call, then something between its ends lost track of it.  Some
    time later the next call is about to go out on it: the ping before it is not answered, the
    link is cut and replaced, and only then the call is sent.  So it is never in doubt.
    Given links: an instance that answers claims
    When links: a claim is sent
    And links: the open connections go silent in both directions
    And links: 40 seconds pass
    And links: a claim is sent
    Then links: the last claim was answered after at most 0.4 seconds
    And links: the other instance ran 2 claims
    And links: 2 connections were made

  Scenario: links: A link goes silent under a call
    The caller sees "may have run" after some 5 seconds, not at its deadline in 60.
    The claim runs for long; meanwhile both directions go silent.  The ping is not
    answered, the link is cut, and the next call goes over a new one.
    Given links: an instance whose claims take 30 seconds
    When links: a claim with 60 seconds is sent and the connections go silent in both directions
    Then links: the last claim was silent after 4 to 6 seconds
    When links: a note is sent
    Then links: the note was answered
    And links: 2 connections were made

  Scenario: links: A link goes silent under the first call after a while
    The caller sees "may have run" after some 5 seconds, as on any other link.
    A link without calls is not watched; the next call has it watched again, also where
    the link was heard a moment ago and is not probed.
    Given links: an instance whose claims take 30 seconds
    When links: a note is sent
    And links: 1.5 seconds pass
    And links: a note is sent
    And links: 1 seconds pass
    And links: a claim with 60 seconds is sent and the connections go silent in both directions
    Then links: the last claim was silent after 4 to 6 seconds

  Scenario: links: Only the replies vanish
    The caller sees "may have run", which is true: the claim ran and its reply was lost.
    The other instance hears everything, also the pings, and answers into the void.
    Given links: an instance whose claims take 30 seconds
    When links: a claim with 60 seconds is sent and the connections go silent towards the caller
    Then links: the last claim was silent after 4 to 6 seconds
    And links: the other instance ran 1 claims

  Scenario: links: Only the caller's messages vanish
    The caller sees "may have run" although it did not: from here the two can't be told apart.
    Its connection swallows the request; pings get no answer, and the link is cut.
    Given links: an instance that answers claims
    When links: a note is sent
    And links: a claim with 60 seconds is sent and the connections go silent towards the instance
    Then links: the last claim was silent after 4 to 6 seconds

  Scenario: links: The reader of a stream vanishes
    The router that follows an answer is lost without a word; nobody sees anything.
    The sidecar's stream waits for its next chunk.  Its own pings are not answered, it cuts
    the link, and the stream ends there too instead of staying for ever.
    Given links: an instance whose streams say nothing after the first chunk
    When links: a stream is followed and its reader goes silent
    And links: 20 seconds pass
    Then links: the instance has 0 streams open

  Scenario: links: The other end stops to read
    The caller sees "may have run" after some 5 seconds.
    The connection's buffers fill and the writer waits.  A gentle close would wait for
    the buffers to empty, which is never; the link is cut instead, and all its calls end.
    Given links: an instance that answers claims
    When links: a note is sent
    And links: the instance stops to read
    And links: 20 claims of 100000 bytes with 60 seconds are sent
    Then links: all of them failed after 4 to 6 seconds
    And links: no connection is left behind

  Scenario: links: An idle link costs nothing and is closed in the end
    Nobody calls for a minute: not a byte is sent, and then the connection is closed.
    Given links: an instance that answers claims
    When links: a claim is sent
    And links: 58 seconds pass
    Then links: nothing was sent meanwhile
    And links: 1 connections are open
    When links: 5 seconds pass
    Then links: 0 connections are open
