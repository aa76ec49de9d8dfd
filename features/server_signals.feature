Feature: Headers with which servers send signals to routers
  A header in a response of a server is either read, or logged as unread.

  Scenario: A header that no router reads is logged
    A server advertised a limit in a new header; it got as many requests as before, and no log line
    of any router showed the header.
    Given 1 routers and 1 servers that answer over connections
    When server 0 answers with the header "endivesaddle-news: 1.5"
    And 3 requests come at router 0
    Then one line tells that "endivesaddle-news" is not read, with "1.5" and the server
    And no line tells so of another header

  Scenario: Servers that invent headers fill neither memory nor log
    Given 1 routers and 1 servers that answer over connections
    When server 0 answers with 300 headers that nobody knows
    And 3 requests come at router 0
    Then 64 lines tell of headers that are not read
    And each of these lines is shorter than 400 characters

  Scenario: Values that may be secrets are not shown
    Given 1 routers and 1 servers that answer over connections
    When server 0 answers with the header "set-cookie: session=31337"
    And 3 requests come at router 0
    Then one line tells that "set-cookie" is not read, with "" and the server

  Scenario: Fields and keys of the store that no router reads are logged
    No router read the operator's key that evacuates a data centre and the fields of cold servers, and
    no log line showed it.
    Given a router that follows the users' store
    When the operator writes the key "op/pause/engines"
    And a configuration has the field "surge" in each of its parts
    And the entry of server one is written with mood as "low"
    And the entry of server one is written with mood as "high"
    Then these names are told of as not read, each once
      | where         | name             |
      | key           | op/pause/engines |
      | configuration | surge            |
      | route         | surge            |
      | service       | surge            |
      | engine        | surge            |
      | account       | surge            |
      | limits        | surge            |
      | entry         | mood             |
    And version 7 is in force
    And 1 servers take requests

  Scenario: Fields that are read, or known not to be needed, are not logged
    Given a router that follows the users' store
    When the configuration and the entry of the pages are written
    Then no name is told of as not read

  Scenario: Headers that the platform's callers read are not logged
    Then the adapter leaves "weight-versions" to callers

  Scenario: Each signal has a header in the adapter that no caller can set
    A signal without a header is never received; one set by a caller would count as the server's.
    Then each signal has a header in the adapter, known as read and dropped where a caller sends it
