Feature: Real processes
  A smoke test over loopback: two routers and two sidecars as processes of their own.
  It waits on what they say and answer; its only bound in time is a generous guard.

  Scenario: A request end to end, and what is told of it
    When the processes carry a request end to end and are asked about it
    Then the processes gave the whole answer, from one run, with one bill
    And the process dumped its state as one JSON document on SIGUSR1
    And the command process told the request, the account and the members

  Scenario Outline: A process that is told to stop cuts no stream
    The caller has the first token when the platform tells a <role> to stop.  The
    process says that it leaves, goes on until the engine's last token is out and
    settled, and ends with status 0.  A router that is the only one of its data centre
    has no other holder to settle with: it bills its last requests itself.
    When the <role> process of an open stream gets SIGTERM
    Then the processes gave the whole answer, from one run, with one bill
    And the stopped process ended by itself with nothing cut

    Examples:
      | role        |
      | router      |
      | sidecar     |
      | lone router |

  Scenario: A router dies with a stream open
    The caller has the first token when its router is killed.  It retries under the
    same key at the other router, which finds the run and streams it
    from the first token: the engine, held at that token, never saw a second request.
    When the router process of an open stream is killed and the caller retries elsewhere
    Then the processes gave the whole answer, from one run, with one bill
