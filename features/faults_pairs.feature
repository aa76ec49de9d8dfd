Feature: Two faults in one request
  Pairs of faults at two steps of a request, drawn by a seed.  Two faults must not break the
  promises that a single fault must not break, except that two may use up the request's
  deadline.

  Scenario Outline: pairs drawn by seed <seed>
    When the fault matrix plays 20 pairs drawn by seed <seed>
    Then the fault matrix finds every promise kept

    Examples: Seeds
      | seed |
      | 1 |
      | 2 |
      | 3 |

  Scenario Outline: the pair <first>, then <second>
    Pairs that have broken a promise.  The caller got its answer after one or two retries, but
    the request was not billed, as two holders or two attempts each left the bill to the other.
    When the fault matrix plays a <kind> request with "<first>" at "<one>", then "<second>" at "<two>"
    Then the fault matrix finds every promise kept

    Examples: Pairs
      | kind                | first               | one               | second                 | two                 |
      | repeatable streamed | backend server dies | claim is asked    | router and holder part | run has started     |
      | repeatable whole    | holder pauses       | dispatch is asked | data centres part      | dispatch is written |
