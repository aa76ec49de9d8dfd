Feature: Forwarded requests wait while all servers are full
  Requests wait in the router in order, and those that would be late are rejected at once.

  Scenario Outline: Callers compete for too little capacity
    Requests that wait at the servers are late there, and take their slots from others.
    Given 3 routers and 2 servers with 6 slots and a queue of 24
    When 5 replays of <load> times the capacity run with the policies off and fair
    Then fair answers at least as many requests in time as off, but for 0.02 of them
    And fair answers at least 0.95 of those that it answers at the capacity
    And Jain's index over the accounts is at least 0.95
    And the urgent requests are answered in time, but for <late> of them

    Examples:
      | load | late |
      | 1    | 0.0  |
      | 1.5  | 0.0  |
      | 2    | 0.01 |
      | 3    | 0.1  |

  Scenario: Requests are served by rank, then in turn between accounts, then by deadline
    Failure: a burst of the least urgent kind, all of one account, is served before all others.
    Given a router and 1 server with 1 slots
    When these requests come
      | rank | account | end_s |
      | 5    | a       | 5     |
      | 5    | a       | 4     |
      | 5    | a       | 3     |
      | 5    | b       | 5     |
      | 0    | c       | 5     |
    And 1 s of waiting pass
    Then they ran in the order 0,4,2,3,1

  Scenario: A caller disconnects while its request waits
    Failure: the request stays in the queue, is sent for nobody, and its slot is lost.
    Given a router and 1 server with 1 slots
    When 3 requests come
    And the caller of request 1 disconnects
    And 1 s of waiting pass
    Then they ran in the order 0,2
    And the router holds no slot

  Scenario: A caller disconnects just when its request got a slot
    Failure: nobody frees the slot.
    Given a router and 1 server with 1 slots
    When 2 requests come
    And a slot becomes free and the caller of request 1 disconnects at once
    Then they ran in the order 0
    And the router holds no slot

  Scenario: A server leaves while requests wait
    Failure: a request is sent to a server that was chosen before it left.
    Given a router and 2 servers with 1 slots
    When 6 requests come
    And server life-0 leaves
    And 2 s of waiting pass
    Then 1 ran on life-0 and 5 on life-1

  Scenario: All servers leave while requests wait
    Failure: callers wait until their deadline although no server is left.
    Given a router and 2 servers with 1 slots
    When 6 requests come
    And server life-0 leaves
    And server life-1 leaves
    Then requests 2,3,4,5 were refused as overloaded

  Scenario: A server advertises a limit while requests wait
    Failure: waiting requests are sent faster than the limit allows.
    Given a router and 1 server with 2 slots
    When 12 requests come
    And server life-0 advertises 2 requests a second
    And 3 s of waiting pass
    Then between 4 and 9 ran

  Scenario: A waiting request has home regions
    Failure: it runs in another region, or holds up requests that another server could run.
    Given a router and 2 servers with 1 slots
    When 3 requests for region life-0 come
    And 1 requests for region life-1 come
    Then 1 ran on life-0 and 1 on life-1
    When 1 s of waiting pass
    Then 3 ran on life-0 and 1 on life-1

  Scenario: A server rejects requests as full
    Failure: it gets the next requests at once, and rejects them until no retry is left.
    Given a router and 2 servers with 2 slots
    And server life-0 rejects requests beyond 1
    When 8 requests come
    And 2 s of waiting pass
    Then 8 were answered
    And at most 4 were rejected by servers

  Scenario: The memory of an engine is full before its slots are
    Failure: requests are preempted there, and computed again.
    Given 1 routers and 1 servers with 8 slots and a queue of 0
    And a server has memory for 340 tokens
    When 8 requests come
    And 1 s of waiting pass
    Then 8 were answered
    And the servers accepted at most 3 requests

  Scenario Outline: Reports of other routers are lost
    Failure: each router takes all slots that it believes to be free.
    Given 4 routers and 1 servers with 8 slots and a queue of 0
    And reports are <state>
    When 8 requests come
    Then the servers accepted at most <most> requests

    Examples:
      | state    | most |
      | lost     | 2    |
      | received | 8    |

  Scenario: A request that can't be on time is rejected at once
    Failure: it waits until its deadline passes, and its caller has no time left for another try.
    Given a router and 1 server with 1 slots
    When 10 requests come
    And 2 s of waiting pass
    And 10 requests of rank 1 come that end in 0.5 seconds
    Then some of them were refused as not run at once, with rising times to come back
    And 1 s of waiting pass
    And all others were answered

  Scenario: Old estimates refuse nobody
    Failure: after a slow period all requests are refused, and none corrects the estimate.
    Given a router and 1 server with 1 slots
    When 10 requests come
    And 5 s of waiting pass
    And 10 requests of rank 1 come that end in 0.5 seconds
    Then none of them was refused yet

  Scenario: The queue is full
    Failure: a burst of the least urgent kind fills the queue, and the urgent kind is refused.
    Given a router and 1 server with 1 slots
    When 514 requests of rank 5 come that end in 100 seconds
    And 3 s of waiting pass
    And 50 requests of rank 5 come that end in 100 seconds
    And 1 requests of rank 0 come that end in 100 seconds
    Then at most 512 wait, 1 of them of rank 0
    And 1 were refused as displaced

  Scenario: A router stops while requests wait
    Failure: they wait until the process ends, and their callers get no answer.
    Given a router and 1 server with 1 slots
    When 3 requests come
    And the router stops
    Then requests 1,2 were refused as stopping
    When 1 s of waiting pass
    Then 1 were answered
