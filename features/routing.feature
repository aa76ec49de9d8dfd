Feature: Routing and admission
  A router chooses a backend server for each request, lets it wait, or refuses it for good.

  Background:
    Given a routing over 3 engines with 2 slots each

  Scenario: Prompts go where their prefix is cached
    When routing places 6 prompts of one prefix, one after the other
    Then routing has used 1 server

  Scenario: A lagging report is corrected by what was sent since
    The report of an empty server is five seconds old.  Taken as it stands, it would draw
    every request until the next one comes.
    When routing hears that engine-0 is empty and the others have 1 request
    And routing places 6 prompts at once
    Then routing has placed 2 prompts on each server

  Scenario: What other routers had on a server is told from what this one had there
    A report counts this router's requests too.  Counted twice, a server with room looks full.
    When routing places 3 prompts at once
    And routing hears that each server has 1 request
    And routing places 3 prompts at once
    Then routing has placed 2 prompts on each server

  Scenario Outline: A server that is leaving gets nothing more
    A server's leaving is heard from its sidecar, in its load report or from an operator,
    in whatever order.  Work sent after the first word would be cut or refused there.
    When routing hears by <word> that engine-1 leaves
    And routing places 4 prompts at once
    Then routing has placed 0 prompts on engine-1

    Examples:
      | word          |
      | its sidecar   |
      | its report    |
      | the operators |

  Scenario: A server joined a moment ago
    The operators have declared it, its sidecar is live, and "servers" shows it.  The router
    looked at the members just before; by that look it would refuse the first requests.
    When routing places 1 prompts at once
    And routing sees engine-3 declared and joined
    And routing is asked for a server beside engine-0, engine-1 and engine-2
    Then routing has placed 1 prompts on engine-3

  Scenario: All servers have been tried
    An attempt after the last server would run where one has failed already.
    When routing is asked for a server beside engine-0, engine-1 and engine-2
    Then routing refuses it as no_backend_server, as not run, within 0 seconds

  Scenario: An answer would be late on an idle server
    The caller leaves less time than the answers of this model take.  To run it would give a
    late answer and take a slot from one in time.
    When routing has learnt that answers take 4 seconds
    And routing is asked for an answer within 2 seconds
    Then routing refuses it as deadline, as not run, within 0 seconds

  Scenario: The wait would be too long
    All slots are taken for seconds yet.  To let it wait until its deadline and refuse then
    would cost the caller the time in which to go elsewhere.
    When routing has learnt that answers take 4 seconds
    And routing is full and 12 prompts wait
    And routing is asked for an answer within 10 seconds
    Then routing refuses it as overloaded, as not run, within 0 seconds
    And routing advises to retry after 1 to 45 seconds

  Scenario: A refused request is not placed afterwards
    A request waits in vain and its caller hears "not run".  A slot falls free a moment
    later: given to that request it would run after all, or stay taken for nobody.
    When routing is full and a prompt waits in vain
    And routing hears that 1 answer ends
    Then routing has 5 requests under way
    And routing places 1 prompts at once

  Scenario: A caller goes away in the moment it is placed
    The slot is given, and the caller's task is cancelled before it hears of it.  Nobody
    would ever report the end of that run, and the slot would count as taken for ever.
    When routing places a waiting prompt whose caller goes away in that moment
    Then routing has 5 requests under way

  Scenario: A large account does not starve the others
    One account has fifty requests waiting when another account's only one arrives.
    In order of arrival the latter would wait for all of them.
    When routing is full and an account has 50 prompts waiting
    And routing lets another account's prompt wait
    And routing hears that 2 answers end
    Then routing has placed the other account's prompt

  Scenario: An account's line is bounded
    When routing is full and an account has 64 prompts waiting
    And routing is asked for an answer within 600 seconds
    Then routing refuses it as overloaded, as not run, within 0 seconds

  Scenario: Low priority yields to high
    The queue is full with tags.  A cutter's question comes; without the rule it is refused
    because of work that can wait.
    When routing has its whole queue full of prompts of low priority
    And routing lets a prompt of high priority wait
    And routing hears that 1 answer ends
    Then routing has placed the prompt of high priority
    And routing has refused 1 prompt of low priority

  Scenario: Retries are a share of successes
    Servers fail, and each failure asks for one more attempt: unbounded, the load doubles
    just when there is least room.
    When routing hears that 100 answers end, one after the other
    And routing is asked for 30 retries
    Then routing has allowed 10 retries
    When routing hears that 10 answers end, one after the other
    And routing is asked for 30 retries
    Then routing has allowed 11 retries

  Scenario: A failing server is set aside and probed by one request at a time
    Two runs in a row fail on engine-0.  When its time aside is over, one request goes there;
    were it all that wait, they would all fail if the server is still down.
    When routing sees 2 runs fail on engine-0
    And routing places 4 prompts at once
    Then routing has placed 0 prompts on engine-0
    When 2 seconds pass for routing
    And routing lets 3 prompts wait
    Then routing has placed 1 prompts on engine-0

  Scenario: All servers fail
    A fault before the router makes all runs fail.  With all servers set aside nothing
    would be served, also after the fault.
    When routing sees 2 runs fail on every server
    Then routing places 3 prompts at once

  Scenario: Routers don't probe a failed server in the same moment
    When 2 routers of one fleet see the same failures in the same moment
    Then routing has set the server aside until different moments

  Scenario: A server hangs
    It accepts requests and answers nothing; nothing fails until timeouts pass, and all
    that time requests of its prefixes would go there.
    When routing gets no first token from engine-0 for 3 seconds
    And routing places 4 prompts at once
    Then routing has placed 0 prompts on engine-0 since

  Scenario: An attempt that never ran teaches nothing
    A dispatch fails before the run begins, ended well and with no tokens.  Taken as an
    answer it would teach that answers take no time, and that failed servers are well.
    When routing has learnt that answers take 4 seconds
    And routing sees 50 attempts that never ran
    Then routing still expects answers to take 4 seconds

  Scenario: A server is taken from the configuration while it runs a request
    Its run ends later; lost count of, the model would seem busy for ever.
    When routing loses the declaration of a server that runs a prompt
    And routing hears that 1 answer ends
    Then routing has 0 requests under way

  Scenario: Cache events are lost
    The server evicted a prefix and the event with it is lost.  A gap in the numbers shows
    it; what a later event confirms on another server is then believed first.
    When routing hears of a prefix on engine-0, and of a gap in its events
    And routing hears of the same prefix on engine-2
    And routing places 1 prompts of that prefix at once, twice
    Then routing has placed 2 prompts on engine-2

  Scenario: An engine restarts with an empty cache
    Its event numbers start again.  Believed to hold its old prefixes, it would draw
    prompts that it has to read whole.
    When routing hears of a prefix on engine-0, and of events from 1 on again
    And routing hears that engine-0 is busier than the others
    And routing places 1 prompts of that prefix at once, twice
    Then routing has placed 0 prompts on engine-0

  Scenario: A sidecar refuses a run because its engine is full
    Reports showed room, but other routers took it.  Asked again at once, the sidecar
    refuses again, and each time costs a dispatch noted at the holder.
    When routing has a run refused at once by engine-0
    And routing places 4 prompts at once
    Then routing has placed 0 prompts on engine-0 since

  Scenario: A costly call of a plain service is nothing to read
    What a call costs is declared in tokens.  Taken for a prompt, one call would keep the
    server from getting another until it is answered, with slots free.
    When routing is asked for 4 calls at once of a service that costs 50000 tokens
    Then routing has placed 4 prompts on service-0

  Scenario: Prompts stay in their region while there is room
    Another region's server is as empty, but each first token from there comes 50 ms later.
    When routing hears that engine-1 and engine-2 stand in another region
    And routing places 2 short prompts at once
    Then routing has placed 2 prompts on engine-0
    And routing places 2 prompts at once
