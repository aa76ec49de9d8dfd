Feature: What servers say of themselves in their answers
  A server that leaves says so in each answer, too.  One that turns a request away may say for how
  long it wants nothing more.

  Scenario Outline: A server that says in an answer that it leaves gets no more requests
    The store was down from 7 s to 20 s, so that no entry told of it.  The answer's word went to the
    caller with the other headers, and no router read it: routers went on to place requests there.
    Given 3 routers and 4 servers that answer over connections
    When the store is down for all of them
    And server 0 leaves, and says so in answers with status <status>
    And router 0 has passed on such an answer
    And 40 requests come at router 0
    Then server 0 got none of them
    And each of them was answered by another server

    Examples:
      | status |
      | 200    |
      | 500    |
      | 503    |

  Scenario: The other routers hear of it without the store
    Given 3 routers and 4 servers that answer over connections
    When the store is down for all of them
    And server 0 leaves, and says so in answers with status 200
    And router 0 has passed on such an answer
    And 1 seconds go by for them
    And 20 requests come at router 1
    Then server 0 got none of them

  Scenario: Routers that leave their words on a board hear of it, too
    Given 10 routers with 3 sidecars and 4 servers that answer over connections
    When server 0 leaves, and says so in answers with status 200
    And router 0 has passed on such an answer
    And 2 seconds go by for them
    And 20 requests come at router 7
    Then server 0 got none of them

  Scenario: An entry that does not say so yet does not bring it back
    The store is back before the server's word reaches it, and tells the entry of before.
    Given 3 routers and 4 servers that answer over connections
    When the store is down for all of them
    And server 0 leaves, and says so in answers with status 200
    And router 0 has passed on such an answer
    And the store is back, where server 0 writes its entry anew as one that takes requests
    And 2 seconds go by for them
    And 40 requests come at router 0
    Then server 0 got none of them

  Scenario: An entry that was gone for a while does not bring it back
    Given 3 routers and 4 servers that answer over connections
    When server 0 leaves, and says so in answers with status 200
    And router 0 has passed on such an answer
    And the entry of server 0 is gone for 3 seconds
    And 40 requests come at router 0
    Then server 0 got none of them

  Scenario: Its next life takes requests
    It starts again under the name that it had; a later birth tells the two lives apart.
    Given 3 routers and 4 servers that answer over connections
    When server 0 leaves, and says so in answers with status 200
    And router 0 has passed on such an answer
    And server 0 starts again under its name
    And 1 seconds go by for them
    And 40 requests come at router 0
    Then server 0 got some of them

  Scenario: A server that wants nothing for a while gets nothing
    It turned a request away with 503 and said "retry-after: 3".  The next requests were sent to it
    all the same, as the router kept of the answer only that one was turned away.
    Given 3 routers and 4 servers that answer over connections
    When server 0 turns requests away, and wants none for 3 seconds
    And router 0 has met that
    And 20 requests come at router 0 within 2.5 seconds
    Then server 0 got none of them
    And each of them was answered by another server
    When 1 seconds go by for them
    And 40 requests come at router 0
    Then server 0 got some of them

  Scenario: It gets nothing though its entry was gone meanwhile
    Given 3 routers and 4 servers that answer over connections
    When server 0 turns requests away, and wants none for 6 seconds
    And router 0 has met that
    And the entry of server 0 is gone for 3 seconds
    And 20 requests come at router 0
    Then server 0 got none of them

  Scenario: Callers are told when the first server wants requests again
    Given 1 routers and 2 servers that answer over connections
    When server 0 turns requests away, and wants none for 5 seconds
    And server 1 turns requests away, and wants none for 3 seconds
    And router 0 has met that
    And 4 requests come at router 0
    Then server 0 got none of them
    And server 1 got none of them
    And each of them was told to come back in 1.5 to 4.5 seconds

  Scenario Outline: A word that can't be read is none
    Given 1 routers and 2 servers that answer over connections
    When server 0 turns requests away, and says "retry-after: <word>"
    And router 0 has met that
    And 10 requests come at router 0
    Then server 0 got some of them

    Examples:
      | word                          |
      | soon                          |
      | -3                            |
      | nan                           |
      | inf                           |
      | Wed, 21 Oct 2099 07:28:00 GMT |
