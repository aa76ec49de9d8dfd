Feature: Connections to backend servers
  One request at a time on each; what a server sends belongs to the request that it answers, and a
  connection that carried anything else is not used again.

  Scenario: A connection is kept, and a target goes out as it came
    Given a server whose answers are: whole, chunked, whole
    When it is sent a request for each
    Then the router got: body, body, body
    And 1 connections were opened
    And its target arrived as it was sent

  Scenario Outline: An answer that ends early is no whole answer
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

  Scenario: An answer without a length ends with its connection
    Given a server whose answers are: until closed, whole
    When it is sent a request for each
    Then the router got: body, body
    And 2 connections were opened

  Scenario Outline: What comes behind an answer belongs to nobody
    The whole answer is passed on.  Read as the next answer, what comes behind would reach the caller
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

  Scenario: An interim answer is none
    Given a server whose answers are: interim, whole
    When it is sent a request for each
    Then the router got: body, body
    And 1 connections were opened

  Scenario: A server that answers before it has read a large body
    It reads on, and must find the rest of that body before the next request.
    Given a server whose answers are: early, early
    When it is sent a request of 3 MB for each
    Then the router got: body, body
    And each request arrived as it was sent, with its large body

  Scenario: A request that is given up leaves its server at once
    Given a server whose answers are: silence
    When it is sent a request that is given up
    Then the server saw its connection closed

  Scenario: A server whose process has ended is told from one that goes on
    Both may break a connection; what was sent there counts against a request in the first case alone.
    Given a server whose answers are: whole, whole
    When it is looked at, sent a request for each, ended, and looked at again
    Then it listened before and refused after
    And the router got: body, body
    And 1 connections were opened
