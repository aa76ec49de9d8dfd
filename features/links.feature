Feature: Calls between instances
  The port to other instances over grpclib, in virtual time over connections in memory.

  Scenario: links: Nobody listens
    The caller sees "not sent": the connection is refused at once, so nothing ran.
    Given links: no instance
    When links: a claim is sent
    Then links: the last claim was unreachable after at most 0.1 seconds

  Scenario: links: A connection can't be made
    The caller sees "not sent" after a second, although its deadline is a minute away.
    The packets that open the connection vanish, as they do when data centres are parted.
    Given links: an instance that answers claims
    When links: no connection can be made
    And links: a claim with 60 seconds is sent
    Then links: the last claim was unreachable after at most 1.1 seconds

  Scenario: links: A process that hangs takes connections
    The caller sees "not sent" after a second.  The kernel takes the connection for a
    process that does nothing any more; without its greeting no call is written.
    Given links: an instance that answers claims
    When links: new connections are taken and never greeted
    And links: a claim with 60 seconds is sent
    Then links: the last claim was unreachable after at most 1.1 seconds

  Scenario: links: A connection is ended before the greeting
    The caller sees "not sent" at once: what listens there takes connections and ends
    them, as a listener does that expects TLS and is not given it.
    Given links: an instance that answers claims
    When links: new connections are taken and ended
    And links: a claim with 60 seconds is sent
    Then links: the last claim was unreachable after at most 0.1 seconds

  Scenario: links: A slow answer is not waited for beyond the deadline
    The caller sees "may have run"; the other instance cancels the work it waited with.
    Given links: an instance whose claims take 30 seconds
    When links: a claim with 2 seconds is sent
    Then links: the last claim was silent after 2 to 2.1 seconds
    When links: 1 seconds pass
    Then links: the other instance cancelled 1 claims

  Scenario: links: Claims that wait don't hold up others
    Everybody sees an answer.  300 claims come at once on a new link and wait for budget.
    The library carries 100 calls: it would end the connection, or hold back the
    settlement that frees the budget until the claims have timed out.
    Given links: an instance whose claims wait for a settlement
    When links: 300 claims with 60 seconds are sent and then a settlement
    Then links: all of them were answered after at most 2 seconds

  Scenario: links: Readers that stop hold up their own streams only
    The callers of 100 streams stop to read.  Each sidecar's stream waits after some 64 KiB;
    other calls on the same link pass at once.
    Given links: an instance that streams without end
    When links: 100 streams are followed and not read beyond the first chunk
    And links: a claim is sent
    Then links: the last claim was answered after at most 0.1 seconds
    And links: no stream was made beyond 100000 bytes

  Scenario: links: A stream says nothing more
    The reader sees "may have run" after 10 seconds, although the link itself lives.
    Between two chunks the reader itself was busy for a minute, which is no silence.
    Given links: an instance whose streams say nothing after the first chunk
    When links: a stream is followed by a reader that is busy for 60 seconds
    Then links: the stream was silent 10 seconds later

  Scenario: links: A call without the fleet key
    The caller sees a refusal, the handler never runs, and the event is logged.
    Given links: an instance that answers claims under another fleet key
    When links: a claim is sent
    Then links: the last claim was refused
    And links: the other instance ran 0 claims
    And links: event 9002 was logged

  Scenario: links: A message that is too large
    The caller sees a refusal at once, and nothing is sent.
    Given links: an instance that answers claims
    When links: 1 claims of 40000000 bytes with 60 seconds are sent
    Then links: all of them were refused
    And links: the other instance ran 0 claims

  Scenario: links: A handler that fails
    The caller sees "may have run", since nobody knows how far it came.
    Given links: an instance whose claims fail
    When links: a claim is sent
    Then links: the last claim was silent after 0 to 0.1 seconds
    And links: event 9003 was logged

  Scenario: links: An instance stops while it answers
    The first caller sees its answer, the second "not sent".  The claim under way has 5
    seconds to end; new calls are refused before their message is read.
    Given links: an instance whose claims take 3 seconds
    When links: a claim with 60 seconds is sent, the instance stops, and a note is sent
    Then links: the last claim was answered after at most 3.1 seconds
    And links: the note was unreachable
    And links: 0 connections are open

  Scenario: links: Old addresses are forgotten
    Instances come back under new addresses for as long as the process lives.
    Given links: no instance
    When links: 500 addresses that nobody listens at are called
    Then links: at most 2 links are kept
