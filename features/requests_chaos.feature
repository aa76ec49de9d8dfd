Feature: Requests under several simultaneous faults
  One request and up to two retries of it, with one to three faults at random times: routers,
  holders and sidecars die or restart, engines break off, connections are cut, silent, lossy
  or deliver twice, data centres are partitioned, instances pause. Each seed draws another
  sequence; the same seed always gives the same one.

  Scenario Outline: Answers, refusals and bills are correct under random faults
    Callers get a whole answer of one run, or a correct refusal.
    A request that may not be repeated runs at most once, every request is billed at most
    once, an answer that was received is billed, and nothing stays reserved.
    When requests chaos: the seeds from <first> to <last> are played
    Then requests chaos: no promise is broken
    And requests chaos: at least half of all calls are answered

    Examples:
      | first | last |
      | 0     | 39   |
      | 160   | 199  |
      | 400   | 429  |
      | 3385  | 3394 |
      | 5560  | 5569 |
      | 6000  | 6009 |
