Feature: What the head of a server's response proves
  Servers say in several headers and in the status whether they ran a request.

  Scenario Outline: Which heads prove that a request did not run
    Failure: a response was believed although its statements contradicted each other, so that a
    request that ran was told as not run.
    Given the response <status> to request "one" with <headers>
    Then it proves <proves>

    Examples: Proof
      | status | headers                | proves            |
      | 503    | id one, refusal 1      | that it did not run |
      | 429    | id one, refusal 1      | that it did not run |
      | 408    | id one, refusal 1      | that it did not run |
      | 421    | id one, refusal 1      | that it did not run |
      | 400    | id one, refusal 1      | that it did not run |
      | 421    | id one, server other   | that it did not run |
      | 503    | id one, refusal TRUE   | that it did not run |
      | 503    | id one, id one, refusal 1 | that it did not run |

    Examples: No proof
      | status | headers                        | proves  |
      | 503    | id one                         | nothing |
      | 429    | id one, seal x                 | nothing |
      | 421    | id one                         | nothing |
      | 421    | id one, server expected        | nothing |
      | 421    | id one, server other, seal x   | nothing |
      | 503    | id one, server other           | nothing |
      | 503    | id one, refusal 1, seal x      | nothing |
      | 421    | id one, refusal 1, seal x      | nothing |
      | 200    | id one, refusal 1              | nothing |
      | 500    | id one, refusal 1              | nothing |
      | 504    | id one, refusal 1              | nothing |
      | 503    | id one, refusal 0              | nothing |
      | 503    | id one, refusal False          | nothing |
      | 503    | id one, refusal no             | nothing |
      | 503    | id one, refusal 1,0            | nothing |
      | 421    | id one, server expected, server other | nothing |
      | 421    | id one, server EXPECTED        | nothing |
      | 503    | id one, refusal 1, refusal 0   | nothing |

    Examples: Another request, or none
      | status | headers                        | proves                     |
      | 503    | id two, refusal 1              | nothing, as of another one |
      | 503    | id two, id one, refusal 1      | nothing, as of another one |
      | 503    | id one, id two, refusal 1      | nothing, as of another one |
      | 200    | id two, id one, seal x         | nothing, as of another one |
      | 503    | refusal 1                      | nothing, as of another one |

  Scenario Outline: A request without an id
    Its response can't be told from one to another request without an id.
    Given the response <status> to request "" with <headers>
    Then it proves <proves>

    Examples:
      | status | headers           | proves                     |
      | 503    | refusal 1         | nothing                    |
      | 400    | refusal 1         | nothing                    |
      | 503    | id one, refusal 1 | nothing, as of another one |

  Scenario: The header of a refusal is not relayed
    Given the response 404 to request "one" with id one, refusal 1
    Then no caller gets the header of a refusal
