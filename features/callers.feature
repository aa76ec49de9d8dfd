Feature: The HTTP interface for callers
  Requests are checked before anything is reserved, and the errors sent for refusals,
  broken answers and stops are correct.

  Background:
    Given the HTTP interface of a router with one account, one model and one service

  Scenario: The front gets a chat completion with its upper bound of tokens
    When a caller sends a chat with max_tokens 100 and n 2
    Then the caller got status 200 with a request id and attempt 3
    And the front got a request bounded by 228 tokens

  Scenario Outline: The bound of a prompt covers the worst case of any tokenizer
    When a caller sends a chat with max_tokens 1 and the text <text>
    Then the front got a request bounded by <bound> tokens

    Examples:
      | text | bound |
      | word | 31    |
      | Zoë  | 32    |
      | ﷺ    | 60    |

  Scenario Outline: Bad input is refused with its code and leaves no reservation
    When a caller sends the <case> body
    Then the caller was refused with status <status> and code <code>
    And the refusal has not_run true
    And the front got no request

    Examples:
      | case                | status | code                 |
      | broken              | 400    | invalid_json         |
      | list                | 400    | invalid_json         |
      | oversized           | 413    | body_too_large       |
      | unknown model       | 404    | model_not_found      |
      | negative max_tokens | 400    | invalid_field        |
      | huge max_tokens     | 400    | max_tokens_too_large |
      | two limits          | 400    | invalid_field        |
      | huge n              | 400    | invalid_field        |
      | no messages         | 400    | invalid_field        |
      | image               | 400    | unsupported_content  |
      | template            | 400    | unsupported_field    |

  Scenario Outline: A request without a valid key or with an invalid header is refused
    Given the caller's header <header> is <text>
    When a caller sends a chat with max_tokens 100 and n 1
    Then the caller was refused with status <status> and code <code>
    And the front got no request

    Examples:
      | header            | text       | status | code                    |
      | authorization     | Bearer no  | 401    | invalid_api_key         |
      | authorization     | Basic x    | 401    | invalid_api_key         |
      | idempotency-key   | two words  | 400    | invalid_idempotency_key |
      | x-deadline-unix-s | 1600000000 | 504    | deadline_passed         |
      | x-timeout-s       | nan        | 400    | invalid_deadline        |
      | x-priority        | -1         | 400    | invalid_priority        |
      | x-may-repeat      | perhaps    | 400    | invalid_may_repeat      |

  Scenario: A key that was removed from the configuration stops working at once
    Given the account's key is removed in the next revision
    When a caller sends a chat with max_tokens 100 and n 1
    Then the caller was refused with status 401 and code invalid_api_key

  Scenario: The engine gets the limit that was checked
    A body contains max_tokens twice, 10 and 400.  One parser uses the first, another the
    last: the budget would reserve 10 and the engine generate 400.  The engine gets the
    checked document, so that both use the same number.
    When a caller sends a completion whose max_tokens is given as 400 and then as 10
    Then the front got max_tokens 10 and the engine's body contains 10 once

  Scenario Outline: A leaving router refuses, with "not run" only for a certain first attempt
    A retry may arrive at a leaving router while the first attempt runs at another one.
    "Not run" would then be wrong for the request; only a certain first attempt gets it.
    Given the router is leaving
    And the caller's header <header> is <text>
    When a caller sends a chat with max_tokens 100 and n 1
    Then the caller was refused with status 503 and code leaving
    And the refusal has not_run <not_run>
    And the caller may retry after 1 s
    And the health checks report alive and not ready

    Examples:
      | header          | text | not_run |
      | x-priority      | 5    | true    |
      | idempotency-key | ab-1 | unknown |

  Scenario: A request with retry counter 0 is a first attempt
    Given the caller's header idempotency-key is ab-1
    And the caller's header x-stainless-retry-count is 0
    When a caller sends a chat with max_tokens 100 and n 1
    Then the front got the request atelier/ab-1 as a first attempt

  Scenario: A request with the caller's id and no retry counter is a possible retry
    Given the caller's header idempotency-key is ab-1
    When a caller sends a chat with max_tokens 100 and n 1
    Then the front got the request atelier/ab-1 as a possible retry

  Scenario Outline: Rules say which calls of a service may be repeated
    A path with dot segments may be resolved to another path by the backend server than the
    one whose rule was found; a non-repeatable call could then be repeated.
    Given the caller's header x-may-repeat is <header>
    When a caller calls the service with <method> <path>
    Then the result of the service call is <outcome>

    Examples:
      | header | method | path           | outcome        |
      | false  | GET    | /read?x=1      | not repeatable |
      | true   | GET    | /read?x=1      | repeatable     |
      | true   | POST   | /stock         | may_not_choose |
      | false  | GET    | /cut           | not repeatable |
      | true   | GET    | /cut           | may_not_choose |
      | true   | GET    | /%63ut         | may_not_choose |
      | true   | POST   | /choose/me     | repeatable     |
      | true   | GET    | /x/../cut      | invalid_path   |
      | true   | GET    | /x/%2e%2e/cut  | invalid_path   |
      | true   | GET    | //cut          | invalid_path   |

  Scenario: A service call is passed on without the caller's key
    When a caller calls the service with POST /labels/7?size=a4
    Then the front got the path /labels/7?size=a4 without an authorization header

  Scenario: A stream is read only as fast as its caller reads
    Given the front answers with 100 events
    When a caller reads nothing for 2 s and then everything
    Then at most 2 events were requested while the caller read nothing
    And the caller got all 100 events and a valid end

  Scenario: A stream that breaks ends with an error event and without [DONE]
    The run is lost in the middle of an event.  Half an event followed by the error would be
    read as one malformed event, so the half is held back.  The caller gets complete events
    followed by the error with what is known, and never "[DONE]".
    Given the front answers with one and a half events, then breaks off
    When a caller streams a chat
    Then the caller got one event, then the error run_lost with not_run unknown, and no [DONE]

  Scenario: An unstreamed answer that breaks off is replaced by an error
    Given the front answers with half a document, then breaks off
    When a caller sends a chat with max_tokens 100 and n 1
    Then the caller was refused with status 502 and code run_lost
    And the refusal has not_run unknown

  Scenario: An exception in the router is reported with not_run unknown
    Given the front raises an unexpected exception
    When a caller sends a chat with max_tokens 100 and n 1
    Then the caller was refused with status 500 and code internal_error
    And the refusal has not_run unknown

  Scenario: The answer of a caller that disconnects is closed
    The caller closes its connection while the engine is still running.  The chunks of the
    answer are closed at once, so that the front can cancel a run that no call needs.
    Given the front answers with one event and then hangs
    When a streaming caller disconnects after a second
    Then the answer was closed

  Scenario: The work for a waiting caller that disconnects is cancelled
    Given the front never answers
    When a streaming caller disconnects after a second
    Then the front's work was cancelled

  Scenario: A caller that never reads counts as disconnected
    The connection stays open and nothing is read, so no error ever occurs.  The run and the
    reservation would be held forever; after the timeout of a send the caller counts as
    disconnected.
    Given the front answers with 100 events
    When a streaming caller never reads
    Then the answer was closed
    And at most 2 events were requested in total

  Scenario: Refusals of the front are sent to the caller unchanged
    Given the front refuses because the budget is exhausted
    When a caller sends a chat with max_tokens 100 and n 1
    Then the caller was refused with status 429 and code budget_exhausted
    And the refusal has not_run true
    And the caller may retry after 3 s

  Scenario: Operators can send commands and read the state
    When an operator sends the command accounts with change id c-1
    Then the command reached the operator service with its token
    And the operator gets the state of router-1
    And the metrics contain the router's counters

  Scenario Outline: A failed command is answered with an error code
    When an operator sends the command <line> with change id c-1
    Then the caller was refused with status <status> and code <code>

    Examples:
      | line            | status | code            |
      | frobnicate      | 400    | invalid_command |
      | top-up nobody 5 | 404    | not_found       |
