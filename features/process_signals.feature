Feature: Signals to processes
  Real processes get signals in series, from their start to their end, with requests in flight.
  A process stops once; no further signal but SIGKILL changes what it has promised.

  Scenario: No signal cuts the requests of a router that stops gracefully
    Failure: the router took signals up to the first SIGTERM alone.  A second one, SIGINT, SIGHUP or
    SIGUSR1 ended it at once, and cut all requests in flight.
    When routers with requests and streams in flight each get one series of signals
      | signals                                                    |
      | SIGTERM                                                    |
      | SIGTERM SIGHUP                                             |
      | SIGTERM SIGTERM                                            |
      | SIGTERM SIGINT SIGINT                                      |
      | SIGINT SIGTERM                                             |
      | SIGTERM SIGUSR1 SIGPIPE                                    |
      | SIGUSR1 SIGHUP SIGTERM SIGHUP SIGUSR1 SIGTERM SIGINT SIGHUP |
    Then all callers got whole answers
    And each router ended with status 0 and logged the signals that it got

  Scenario: A router that stops lets slow callers read the rest of their answers
    Failure: answers that were written but not sent yet did not count as open, and were cut.
    When 3 slow callers read answers of 16000000 bytes from a router that gets SIGTERM
    Then all slow callers got whole answers
    And the router ended by itself with status 0

  Scenario Outline: A <role> is ended by no signal before it serves or after its last request
    Failure: a change of the settings during a start or at the end of a stop ended the process.
    When a <role> gets SIGHUP and SIGUSR1 again and again, and SIGTERM once it serves
    Then it served, and ended with status 0

    Examples:
      | role    |
      | router  |
      | sidecar |

  Scenario: A flood of signals hides none
    Failure: thousands of SIGHUP while a process is busy would leave no room for the word to stop.
    When a process that does not read its signals gets 5000 times SIGHUP, and SIGTERM
    Then it reads SIGHUP and SIGTERM

  Scenario Outline: No second signal cuts a stream of the OpenAI interface
    When the <role> process of an open stream gets SIGTERM and then <signals>
    Then the processes gave the whole answer, from one run, with one bill
    And the stopped process ended by itself with nothing cut

    Examples:
      | role    | signals                       |
      | router  | SIGTERM SIGINT SIGHUP SIGUSR1 |
      | sidecar | SIGHUP SIGTERM SIGINT SIGUSR1 |
