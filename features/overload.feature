Feature: A router with more load than its link or its processor can handle
  It detects this by its own delay, leaves the balancer's rotation if few others have, closes the
  busiest connections and rejects requests by rank before anything is sent for them.

  Scenario: The level rises with a lasting delay
    Failure: a router that is overloaded stays ready for the balancer.
    Given measurements each 0.1 s with a tolerated delay of 30 ms
    When the delay is 40 ms for 0.2 s, then 5 ms for 0.1 s
    Then the level stays normal
    When the delay is 40 ms for 1.5 s, then 5 ms for 9 s
    Then the level is shedding after 0.3 s, closed after 0.8 s, shedding after 4.8 s, normal after 6.8 s

  Scenario: A saturated link with an extreme delay closes the router early
    Given measurements each 0.1 s with a tolerated delay of 30 ms
    When the delay is 90 ms on a full link for 0.5 s
    Then the level is closed after 0.3 s

  Scenario: The level doesn't follow a delay that moves around the tolerated one
    Failure: a router enters and leaves the rotation each second.
    Given measurements each 0.1 s with a tolerated delay of 30 ms
    When the delay moves between 20 and 40 ms for 20 s
    Then the level changes at most 2 times

  Scenario Outline: Never more than a quarter of the routers are out
    Failure: overloaded routers that do not hear of each other leave together, and the balancer
    finds too few ready.
    Given <count> routers of which each <lists>, with <lost> percent of the reports lost
    When all become closed within a second, for 20 s
    Then at most <most> are out at any moment, and at least <least> at some moment

    Examples:
      | count | lists         | lost | most | least |
      | 2     | knows all     | 0    | 0    | 0     |
      | 3     | knows all     | 0    | 1    | 1     |
      | 8     | knows all     | 0    | 2    | 2     |
      | 8     | knows all     | 30   | 2    | 0     |
      | 8     | knows all     | 100  | 0    | 0     |
      | 8     | lacks another | 0    | 2    | 1     |
      | 8     | lacks another | 30   | 2    | 0     |
      | 40    | knows all     | 30   | 10   | 0     |
      | 40    | lacks another | 0    | 10   | 5     |

  Scenario: A router that is alone stays ready and logs few lines
    Failure: a line for each measurement; 62 came in 12 s.
    When a router without others has five times the tolerated delay for 20 s
    Then it stays in the rotation, and logs its level 2 times and that it stays once

  Scenario Outline: A router whose link is full leaves by what it heard while it was shedding
    Failure: its link lets no report through once it has closed, and it stays in the rotation.
    When a router is shedding for 0.5 s, hears the 7 others <heard> s after it began, then closes and hears nobody
    Then it is <place> from the moment at which it closed until its level drops

    Examples:
      | heard | place           |
      | 0.4   | out             |
      | 0.2   | in the rotation |

  Scenario: The callers of a router with ten times the requests go to others
    Failure: one of eight routers gets ten times its neighbours' requests over 10 Mbit/s, and its
    callers' requests exceed their deadline as long as the load lasts.
    When one of 8 routers gets ten times the requests of the others, with five seeds
    Then without the policy its callers get less than 0.1 of their answers on time after 3 s
    And with the policy at most 0.1 less than the others after 3 s, and it is out after 1.3 s
    And with the policy and an unknown link at most 0.1 less than the others after 3 s

  Scenario: Overload of all routers does not reduce what is answered on time
    Failure: requests that are answered too late take the place of others.
    When all routers get 1, 1.5, 2 and 3 times what their links carry, with five seeds
    Then the requests answered on time are at least 0.95 of those at 1, and less than 0.1 at 3 without the policy

  Scenario: Urgent requests are admitted longer than others
    Failure: a burst of the least urgent requests uses up the link.
    Given a router that is shedding
    When 600 requests of ranks 0, 5 and 9 come at once
    Then more are admitted of a more urgent rank, and the rejected ones have certainly not run
    And callers are told to come back within 0.15 s if another router has capacity, else after 0.5 to 1 s

  Scenario Outline: Requests are not rejected by rank where their bodies fill the link
    Failure: a rejected request has been read already, and its caller's retry fills the link as well.
    Given a router that is shedding
    When 600 requests come at once, after a second in which requests were <share> of what came in
    Then <rejected> are rejected

    Examples:
      | share | rejected |
      | 0.6   | none     |
      | 0.2   | some     |

  Scenario: The platform's settings turn the policy on
    Then the policy is off for a settings file without the contract "pressure"
    And it is "shed" with 5.0 Mbit/s for one with it
    And a link of -1 Mbit/s is rejected with the flag and its bounds

  Scenario: Calls to instances that are gone are no overload
    Failure: calls to instances behind a cut take their whole time limit, and an idle router leaves.
    Given a router whose calls to 4 instances take 2 ms
    When the calls to 3 of them get no answer
    Then its delay is below 5 ms while its link is idle
    When all its calls take 80 ms more
    Then its delay is above 60 ms

  Scenario: A router's place outside the rotation is reported at once
    Failure: two routers leave for one place, as the second hears of the first too late.
    Given 23 routers of one data centre that exchange reports
    Then that a router is out reaches all others within 0.7 s

  Scenario: A malformed report of another router is ignored
    When a report with level 7 comes twice
    Then it is counted twice, logged once, and no router is known

  Scenario: The busiest connection is closed after a response, idle ones stay open
    Failure: callers keep their connections to a router that left the rotation.
    Given the listener of a router that is out of the rotation
    When a caller sends requests on one of 2 connections until it is closed
    Then each response was complete and the last one announced the close
    And the other connection is still open, and all bytes were counted
