Feature: Commands of operators and support engineers

  Background:
    Given operators at 3 routers with the declarations applied

  Scenario Outline: Who may do what: <who> gives "<line>"
    When operators run "<line>" as <who>
    Then operators hear HTTP status <http>

    Examples:
      | who         | line                       | http |
      | ines        | drain server:porto-a/llm-1 | 200  |
      | rui         | drain server:porto-a/llm-1 | 403  |
      | rui         | accounts budget:1M..       | 200  |
      | nobody      | accounts                   | 401  |
      | first-token | accounts                   | 401  |
      | ines        | accounts bugdet:1M..       | 400  |
      | ines        | request id:nothing         | 404  |

  Scenario Outline: A mistake points at the word: <line>
    When operators run "<line>" as ines
    Then operators hear exit 2 with "<message>"
    And operators hear a caret under "<word>", and "<possible>" as possible

    Examples:
      | line                                 | message                            | word                   | possible      |
      | drian server:x                       | there is no command 'drian'        | drian                  | drain         |
      | drain server:porto-a/llm-99          | there is no backend server         | server:porto-a/llm-99  | porto-a/llm-9 |
      | requests account:atelier cots:5      | there is no field 'cots'           | cots                   | cost:         |
      | requests cost:many                   | a number such as 500               | cost:many              |               |
      | top-up ateliers 5                    | there is no client account         | ateliers               | atelier       |
      | top-up atelier 5 extra               | the command does not take this     | extra                  | id:           |
      | top-up atelier 0                     | a whole number from 1              | 0                      |               |
      | order server:porto-a/llm-1 explode   | one of load, unload, role          | explode                |               |
      | repeat service:recodrs never         | there is no service                | service:recodrs        | records       |

  Scenario: What became of a request that two routers know in parts
    The router that claimed it died; another one settled it.  Support sees one story.
    When operators have router 1 know atelier/r-17 as dispatched and router 2 as ended
    And operators run "request id:r-17" as rui
    Then operators hear exit 0 with "cost: 1200 tokens billed"
    And operators hear rows with name claimed, dispatched, settled

  Scenario: A router that does not answer is named
    "not found" would be a lie while somebody who may know it can't be asked.
    When operators have router 1 fall silent
    And operators run "request atelier/r-99" as rui
    Then operators hear exit 1 with "whether it ran is unknown"
    And operators hear exit 1 with "10.0.0.1:7000"

  Scenario: Requests are found by a query at all routers
    When operators have router 1 know atelier/r-17 as dispatched and router 2 as ended
    And operators run "requests since:2h -outcome:unknown , id:r-99" as rui
    Then operators hear rows with request_key atelier/r-17

  Scenario: An order to an engine carries a fencing number that grows
    When operators have a sidecar beside porto-a/llm-1 that answers done
    And operators run "order server:porto-a/llm-1 load model:board version:7" as change o-1
    Then operators hear exit 0 with "fence 1"
    When operators run "order server:porto-a/llm-1 unload model:board" as change o-2
    Then operators hear exit 0 with "fence 2"
    And operators see the sidecar got "load board@7" and "unload board"

  Scenario: An old order is sent again after a newer one
    A script repeats "load" a day later, somebody has unloaded the model meanwhile.  It was
    done once and is not done again on top of the newer order.
    When operators have a sidecar beside porto-a/llm-1 that answers done
    And operators run "order server:porto-a/llm-1 load model:board" as change o-1
    And operators run "order server:porto-a/llm-1 unload model:board" as change o-2
    And operators run "order server:porto-a/llm-1 load model:board" as change o-1
    Then operators hear exit 0 with "accepted before"
    And operators see the sidecar got "load board" and "unload board"

  Scenario: An order whose answer was lost is sent again after a newer one
    It keeps its number, so that the sidecar can tell that it is the older one.
    When operators have a sidecar beside porto-a/llm-1 that answers unknown
    And operators run "order server:porto-a/llm-1 load model:board" as change o-1
    Then operators hear exit 4 with "ask again with --change-id o-1"
    When operators run "order server:porto-a/llm-1 unload model:board" as change o-2
    And operators run "order server:porto-a/llm-1 load model:board" as change o-1
    Then operators see orders with the fences 1, 2, 1

  Scenario: The store was restored, and its counter gives out numbers that are passed
    The sidecar has seen 7 and refuses 1.  The next order gets a number above 7, else no
    order could be given until six more had been refused.
    When operators have a sidecar beside porto-a/llm-1 that has seen fence 7
    And operators run "order server:porto-a/llm-1 load model:board" as change o-1
    Then operators hear exit 3 with "a newer order stands, this did not"
    When operators run "order server:porto-a/llm-1 load model:board" as change o-2
    Then operators see orders with the fences 1, 8

  Scenario: Two data centres claimed one request
    Two claims crossed; one ran, one was refused.  Support sees both, and would see it
    if both had been billed.
    When operators have router 1 know atelier/r-17 as dispatched and router 2 as ended
    And operators have router 0 know atelier/r-17 as refused at porto-b
    And operators run "request id:r-17" as rui
    Then operators hear exit 0 with "cost: 1200 tokens billed"
    And operators hear exit 0 with "claimed at porto-b: refused, 0 tokens"

  Scenario: The revision at each instance is told
    When operators have router 1 at revision 0 and router 2 fall silent
    And operators run "config everywhere" as rui
    Then operators hear rows with revision revision 1, revision 0, no answer

  Scenario: Nothing is restored over a higher revision, or past one that can't be asked
    The router that is asked has missed a change: written back from there, that change
    would be undone everywhere without a word.
    When operators have the store lose everything
    And operators have router 1 at revision 7
    And operators run "restore" as change w-1
    Then operators hear exit 1 with "10.0.0.1:7000 has revision 7; restore there"
    When operators have router 1 at revision 0 and router 2 fall silent
    And operators run "restore" as change w-1
    Then operators hear exit 1 with "10.0.0.2:7000 can not be asked"
    When operators run "restore anyway" as change w-2
    Then operators hear exit 0 with "accepted: revision 1001, with all of 1"

  Scenario Outline: A sidecar that answers <code> is not told as done
    When operators have a sidecar beside porto-a/llm-1 that answers <code>
    And operators run "order server:porto-a/llm-1 load model:board" as change o-1
    Then operators hear exit <status> with "<text>"

    Examples:
      | code              | status | text                               |
      | old_fence         | 3      | a newer order stands, this did not |
      | lease_held        | 1      | not accepted                       |
      | store_unreachable | 4      | ask again with --change-id o-1     |

  Scenario: An order whose answer does not come is unknown
    When operators have a sidecar beside porto-a/llm-1 that falls silent
    And operators run "order server:porto-a/llm-1 load model:board" as change o-1
    Then operators hear exit 4 with "ask again with --change-id o-1"
