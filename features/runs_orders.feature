Feature: Orders to an engine through its sidecar
  Only the sidecar orders its engine, and never by an older fencing number.

  Scenario: An order that is sent again is carried out once
    Given a sidecar that keeps the orders of an engine
    When the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    And the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    Then the sidecar answered its orders with "done, done"
    And the ordered engine got "load board-2"

  Scenario Outline: An older fencing number is refused, also after a restart
    Two operators order one engine; the one with the older number comes late, perhaps
    after the sidecar was replaced by one that has seen no order yet.
    Given a sidecar that keeps the orders of an engine that <checks> numbers
    When the sidecar is ordered to "load board-2" with fence 5 as "o-1"
    And <between>
    And the sidecar is ordered to "unload board-2" with fence 4 as "o-2"
    Then the sidecar answered its orders with "done, old_fence"
    And the ordered engine got "load board-2"

    Examples:
      | checks  | between                                    |
      | checks  | nothing happens to the keeper of orders    |
      | checks  | a successor keeps the orders of the engine |
      | ignores | nothing happens to the keeper of orders    |
      | ignores | a successor keeps the orders of the engine |

  Scenario: Numbers come from the operators' counter, and an order keeps its own
    Two operators take a number each; the sidecar starts afterwards, and the order with
    the older number reaches it first.
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When operators take fencing numbers for "o-1" and "o-2"
    And the sidecar is ordered to "unload board-2" with the number of "o-1"
    And the sidecar is ordered to "load board-2" with the number of "o-2"
    And operators take fencing numbers for "o-2" and "o-3"
    And the sidecar is ordered to "load board-3" with the number of "o-3"
    And the sidecar is ordered to "load board-2" with the number of "o-2"
    And the sidecar is ordered to "role prefill" with fence 9 as "o-9"
    And operators take fencing numbers for "o-3" and "o-10"
    Then the sidecar answered its orders with "old_fence, done, done, done, done"
    And the ordered engine got "load board-2, load board-3, role prefill"
    And the operators' numbers are "1 2 2 3 3 10"
    And the keeper of orders tells fence 9 and the wanted role "prefill"

  Scenario: Without the store an order under way is unknown, not refused
    The store goes down right after the wanted state was written: whoever reads the
    engine's state back will carry the order out, so it must not be called refused.
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When the store of fences goes down right after the wanted state was written
    And the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    And the store of fences is back
    And 20 seconds pass for the keeper of orders
    Then the sidecar answered its orders with "unknown"
    And the ordered engine's models are "board-2"

  Scenario: A late order of a paused sidecar is undone at an engine that ignores numbers
    A sidecar checks its lease, is paused, and its lease lapses. Its successor takes a
    newer order. Then the first one wakes, and its order reaches the engine. The
    successor reads the engine's state back and orders again what was ordered last.
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When the sidecar is paused right after its check, ordering "unload board-2" with fence 4
    And 15 seconds pass for the keeper of orders
    And a successor keeps the orders of the engine
    And the sidecar is ordered to "load board-2" with fence 5 as "o-2"
    And the paused sidecar wakes
    And 1 second pass for the keeper of orders
    And the ordered engine's models are "" for a moment
    And 6 seconds pass for the keeper of orders
    Then the sidecar answered its orders with "done"
    And the ordered engine's models are "board-2"

  Scenario: An engine that checks numbers refuses the late order itself
    Given a sidecar that keeps the orders of an engine that checks numbers
    When the sidecar is paused right after its check, ordering "unload board-2" with fence 4
    And a successor keeps the orders of the engine
    And the sidecar is ordered to "load board-2" with fence 5 as "o-2"
    And the paused sidecar wakes
    And 1 second pass for the keeper of orders
    Then the ordered engine's models are "board-2"
    And the ordered engine got "load board-2"

  Scenario: A sidecar without the lease gives no order
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    And a successor keeps the orders of the engine
    And the sidecar is ordered to "load board-3" with fence 4 as "o-2"
    And 11 seconds pass for the keeper of orders
    And the sidecar is ordered to "load board-3" with fence 4 as "o-2"
    Then the sidecar answered its orders with "done, lease_held, done"
    And the ordered engine's models are "board-2 board-3"

  Scenario: Without the store nothing is ordered
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When the store of fences is down
    And the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    And the store of fences is back
    And the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    Then the sidecar answered its orders with "store_unreachable, done"
    And the ordered engine got "load board-2"

  Scenario: Lost answers of the store are read back
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When the store of fences loses its next 3 answers
    And the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    Then the sidecar answered its orders with "done"
    And the ordered engine got "load board-2"

  Scenario: An engine that was lost within an order is read back and brought there
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When the ordered engine can't be reached
    And the sidecar is ordered to "role prefill" with fence 4 as "o-1"
    And the ordered engine is back
    And 6 seconds pass for the keeper of orders
    Then the sidecar answered its orders with "unknown"
    And the ordered engine has the role "prefill"

  Scenario: An order that the engine refused is not given again behind the operator's back
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When the ordered engine refuses orders
    And the sidecar is ordered to "load board-9" with fence 4 as "o-1"
    And the ordered engine takes orders again
    And 20 seconds pass for the keeper of orders
    Then the sidecar answered its orders with "no_such_model"
    And the ordered engine has no models

  Scenario: An order that the engine never ends is bounded
    Given a sidecar that keeps the orders of an engine that checks numbers
    When an order takes the engine 3600 seconds
    And the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    Then the sidecar answered its orders with "unknown"
    And the sidecar's last order took at most 31 seconds

  Scenario: An order is bounded and ends when the lease can't be kept
    The store goes down while the engine works on a long order. The lease may lapse and
    pass to another sidecar, so the order is broken off and called unknown.
    Given a sidecar that keeps the orders of an engine that ignores numbers
    When an order takes the engine 25 seconds
    And the store of fences goes down in 2 seconds
    And the sidecar is ordered to "load board-2" with fence 4 as "o-1"
    Then the sidecar answered its orders with "unknown"
    And the sidecar's last order took at most 6 seconds
