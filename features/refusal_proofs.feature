Feature: Proof that a request did not run
  A request that may run once only is refused as not run, or sent to another server, if nothing was sent or the
  server proved that it did not run it: a complete head with the header of a refusal, the request's own id alone,
  an error as status and no seal.  Whatever contradicts itself proves nothing.

  Scenario Outline: A statement without proof is no promise and lets nothing run twice (<kind>: <behaviour>)
    A caller was told "not run" of a request that ran, or a router sent it to a second server.
    Given two servers, of which the first to get a request <behaviour>
    When a caller sends one <kind> request, while retries are left and when they are used up
    Then nothing that ran is told as not run, and nothing runs twice

    Examples:
      | kind     | behaviour                                                  |
      | streamed | ran, answers 408 without the header of a refusal           |
      | streamed | ran, answers 421 without the header of a refusal           |
      | streamed | ran, answers 429 without the header of a refusal           |
      | streamed | ran, answers 503 without the header of a refusal           |
      | streamed | ran, answers 503 without a length                          |
      | streamed | ran, answers 421 with the seal alone                       |
      | streamed | ran, answers 408 with the header of a refusal and the seal |
      | streamed | ran, answers 421 with the header of a refusal and the seal |
      | streamed | ran, answers 429 with the header of a refusal and the seal |
      | streamed | ran, answers 500 with the header of a refusal and the seal |
      | streamed | ran, answers 503 with the header of a refusal and the seal |
      | streamed | ran, answers 200 with the header of a refusal              |
      | streamed | ran, answers 200 with the header of a refusal and no seal  |
      | streamed | ran, refusal names two requests                            |
      | streamed | ran, refusal names two requests, its own first             |
      | streamed | ran, refusal names no request                              |
      | streamed | ran, refusal with an empty id                              |
      | streamed | ran, refusal names another request                         |
      | streamed | ran, answers 421 that names another request                |
      | streamed | ran, refusal in an interim response, then closes           |
      | streamed | ran, refusal in a trailer of 500                           |
      | streamed | ran, refusal in a trailer behind an event                  |
      | streamed | ran, refusal behind an event                               |
      | streamed | ran, refusal behind a complete answer without the seal     |
      | streamed | ran, the head of a refusal breaks off                      |
      | streamed | ran, closes without an answer                              |
      | streamed | ran, resets without an answer                              |
      | streamed | ran later, closes before                                   |
      | streamed | ran later, answers 503 without the header of a refusal     |
      | unsafe   | ran, answers 408 without the header of a refusal           |
      | unsafe   | ran, answers 421 without the header of a refusal           |
      | unsafe   | ran, answers 429 without the header of a refusal           |
      | unsafe   | ran, answers 503 without the header of a refusal           |
      | unsafe   | ran, answers 421 with the seal alone                       |
      | unsafe   | ran, answers 503 with the header of a refusal and the seal |
      | unsafe   | ran, answers 200 with the header of a refusal              |
      | unsafe   | ran, refusal names two requests                            |

  Scenario Outline: A request that may be repeated is told as not run only if it ran nowhere (<kind>: <behaviour>)
    The failure to connect to the second server took back the run at the first one.
    Given three servers, of which the first to get a request <behaviour>
    When a caller sends one <kind> request, while retries are left and when they are used up
    Then nothing that ran is told as not run, and nothing comes in parts

    Examples:
      | kind      | behaviour                                            |
      | safe      | ran, closes, and no server accepts connections then  |
      | resumable | ran, closes, and no server accepts connections then  |
      | safe      | ran, answers 429 without the header of a refusal     |
      | safe      | ran, answers 200 with the header of a refusal        |
      | resumable | ran, answers 503 with the header of a refusal and the seal |

  Scenario Outline: A success that names two requests answers none of them (<kind>)
    The last id alone was read, and a caller got the answer to another request.
    Given two servers, of which the first to get a request answers 200 to two requests with the body of the other
    When a caller sends one <kind> request, while retries are left and when they are used up
    Then nothing that ran is told as not run, and nothing comes in parts

    Examples:
      | kind     |
      | unsafe   |
      | safe     |
      | streamed |

  Scenario: What a server refuses truthfully is sent to another server
    Given two servers, of which the first to get a request refuses truthfully
    When a caller sends one streamed request, while retries are left and when they are used up
    Then it is answered by the other server, or refused as not run

  Scenario Outline: Refusals that are sent a second time refuse no other request (<behaviour>)
    A refusal that came again, late, was taken for the answer to the next request on its connection.
    Given four servers, of which one <behaviour>
    When callers send 200 streamed requests
    Then nothing that ran is told as not run, and nothing runs twice
    And at least 5 requests were refused truthfully

    Examples:
      | behaviour                                            |
      | repeats each truthful refusal before the next answer |
      | repeats each truthful refusal on the idle connection |

  Scenario Outline: Whatever servers send, no promise is broken (seeds from <first>)
    Servers of which most behave at random: statuses, ids, framing, times, closes; all kinds of request, several
    at once, with deadlines and callers that leave at any time.  tools/fuzz_promises.py plays more seeds.
    Given servers that behave at random, for 4 seeds from <first>
    When callers send requests of all kinds
    Then no promise to a caller is broken
    And at least a quarter of the requests was played at random

    Examples:
      | first |
      | 8     |
      | 100   |
      | 200   |
      | 300   |
