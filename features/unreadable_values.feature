Feature: Values of other writers that can't be read
  An unreadable value costs only itself: its task goes on, and no process ends.

  Scenario Outline: An unreadable entry of a server ends no router's list of servers
    Failure: a deeply nested entry ended the task that follows the store, and with it all routers.
    Given a router that follows the users' store
    When server one enters
    And an entry of another writer is <value>
    And server two enters
    Then 2 servers take requests
    When the entry of server two is overwritten with what is <value>
    Then only server one takes requests
    When server two enters
    Then 2 servers take requests

    Examples:
      | value               |
      | empty               |
      | cut short           |
      | nested deeply       |
      | open brackets       |
      | an unread deep field|
      | not UTF-8           |
      | another type        |
      | a huge number       |
      | an impossible port  |
      | too many slots      |

  Scenario Outline: An unreadable configuration leaves the one in force
    Failure: a sound configuration with one more, deeply nested field ended all routers.
    Given a router that follows the users' store
    When version 5 is configured
    And the configuration is <value>
    Then version 5 is in force
    When version 9 is configured
    Then version 9 is in force

    Examples:
      | value               |
      | empty               |
      | cut short           |
      | nested deeply       |
      | open brackets       |
      | an unread deep field|
      | not UTF-8           |
      | another type        |
      | a huge number       |
      | a text for a time   |
      | a huge version      |
      | a route nowhere     |

  Scenario: An unreadable value is logged once for each version
    A log line at each poll would hide all others.
    Given a router that follows the users' store
    When the configuration is nested deeply
    And the store drops its history 3 times
    Then one line names the key "op/config" as unreadable
    When the configuration is cut short
    Then two lines name the key "op/config" as unreadable

  Scenario: An unreadable entry of an instance hides no other instance
    Failure: the task that lists the instances ended at the first entry that it could not decode.
    When an instance lists the others beside each unreadable value
    Then it knows all readable ones each time

  Scenario: An allocator neither ends nor overwrites an unreadable record of grants
    The record may hold grants of other instances.
    When an allocator is asked for tokens while its record is each unreadable value
    Then it gives out none, keeps running, and the record is as it was
    And it gives tokens once the record is readable again

  Scenario: An unreadable record of grants is logged once for each version
    Failure: each try to write grants logged it anew, every 2 seconds.
    When an allocator is asked for tokens while its record is each unreadable value
    Then the log names each version of the record once

  Scenario Outline: Each reader turns an unreadable value into the error of its layer
    When <reader> reads each unreadable value
    Then it ends each time with a value or with <error>

    Examples:
      | reader                         | error                   |
      | the entry decoder              | ValueError              |
      | the configuration decoder      | UnreadableValue         |
      | the record of grants           | GrantsUnreadable        |
      | the record of a shard          | BadRecord               |
      | the compressed record of a shard | BadRecord             |
      | the minimum epochs             | BadRecord               |
      | the batch of ended records     | BrokenBatch             |
      | the head of the configuration  | RevisionError           |
      | the pushed configuration       | PackingError            |
      | the parts of a peer's reply    | PeerNoReply             |
      | the list of instances          | ListUnreadable          |
      | the declarations               | UserError               |
      | the packed declarations        | UserError               |
      | the settings file              | UserError               |
      | the body of a call             | Invalid                 |
      | the body sent to an engine     | NeverSent               |
      | the event of an engine         | UnreadableValue         |
      | the response to a store read   | StoreUnreachable        |
      | the response to a store write  | StoreWriteUnconfirmed   |
      | the wanted state of an engine  | StoreUnreachable        |
      | the load report of an engine   | ServerLost              |
      | the records of crashes         | nothing                 |
      | the record of versions         | LookupError             |
      | the counter of orders          | UserError               |
      | the lines of a log             | nothing                 |

  Scenario Outline: A header that no message between instances can carry is refused
    Failure: a token count of 2^63 would end the task that reports loads to the other routers.
    Then a request with the header <name> set to <text> is refused as invalid

    Examples:
      | name          | text                        |
      | token-count   | 9223372036854775808,1       |
      | token-count   | 10,18446744073709551616     |
      | token-count   | -1,1                        |
      | prompt-prefix | 5c1e:9223372036854775808    |
      | prompt-prefix | 5c1e:-1                     |
      | deadline-ms   | nan                         |
      | deadline-ms   | inf                         |
      | last-event-id | 9223372036854775808         |

  Scenario: A background task that fails all the same is started again, and says why
    Failure: any error in one task ended the process, and nothing named the task.
    When a background task fails 2 times and then returns
    Then it ran 3 times, and 2 lines name it with the error

  Scenario: No module decodes on its own
    Failure: two dozen places named the library's errors themselves, and most of them not all.
    Then only the module of decoders calls the decoders of the libraries
