Feature: Recorded traces replayed against their stated outcomes
  Each trace is an hour or so of one firm, compressed: its requests, faults, top-ups and
  operators' changes, and what every request has to come to.  The real routers and
  sidecars play it; then the promises are checked at rest, and refusals are held against
  a ledger that knew everything at once.

  Scenario Outline: <trace>
    <what>
    When the trace "<trace>" is replayed
    Then the trace shows every promise kept and every stated outcome

    Examples: Azulejo Boards
      | trace            | what                                                                            |
      | azulejo-hour     | Nothing fails: one attempt each, also while a server is drained and taken back. |
      | azulejo-parted   | porto-b is parted from the others, then from the store; budgets are topped up.  |
      | azulejo-storeless | The store is down for ten minutes and a router dies with what it held.         |

    Examples: Nestkala
      | trace            | what                                                                            |
      | nestkala-shift   | Routers, sidecars and an engine die in turn, a router pauses; calls run once.   |
      | nestkala-parted  | aji-hall is parted, a router dies beyond; calls that may run once stay truthful. |
      | nestkala-tight   | Three data centres draw on a budget that is too small, until a top-up comes.    |
