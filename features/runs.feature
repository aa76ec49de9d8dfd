Feature: Runs of a sidecar
  A sidecar runs a request at most once, keeps its answer, and settles its bill.

  Scenario: A START that comes twice runs once
    The router's first START was answered, but the answer was lost on the way; it
    sends the START again and must not cause a second run.
    Given a sidecar
    When a router starts "atelier/r1" at the sidecar
    And a router starts "atelier/r1" at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    Then the sidecar's replies are "started, known"
    And the sidecar's engine got "atelier/r1" 1 time
    And answer 1 of the sidecar is whole and has status 200

  Scenario: A later attempt at a request that was answered attaches to its run
    Given a sidecar
    When a router starts "atelier/r1" at the sidecar with may_repeat=1
    And a router fetches "atelier/r1" from the sidecar
    And a router starts "atelier/r1" at the sidecar with may_repeat=1 and attempt=2
    Then the sidecar's replies are "started, known"
    And the sidecar's engine got "atelier/r1" 1 time

  Scenario: A START that the network delivers twice runs once
    Given a sidecar
    When the network doubles what routers send to the sidecar
    And a router starts "atelier/r1" at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    Then the sidecar's replies are "known"
    And the sidecar's engine got "atelier/r1" 1 time

  Scenario: Three routers receive the same whole answer, early, late and from the middle
    The first router dies with the stream open. The caller retries at a second one
    while the run goes on, and at a third after it has ended: both attach to the run.
    Given a sidecar
    When a router starts "atelier/r1" at the sidecar
    And a router starts following "atelier/r1" at the sidecar
    And 0.02 seconds pass at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    And a router fetches "atelier/r1" from the sidecar from byte 100
    Then answers 1 and 2 of the sidecar are whole
    And answer 3 of the sidecar is whole from byte 100
    And the sidecar's engine got "atelier/r1" 1 time
    And the holders heard one bill of 10 tokens for "atelier/r1"

  Scenario: A slow router holds up neither the run nor another router
    Given a sidecar
    And the sidecar's engine answers 40 tokens
    When a router starts "atelier/r1" at the sidecar
    And a router starts following "atelier/r1" at the sidecar with pauses of 2 seconds
    And a router fetches "atelier/r1" from the sidecar
    And 100 seconds pass at the sidecar
    Then answers 1 and 2 of the sidecar are whole
    And no chunk of the sidecar is longer than 256 bytes

  Scenario: While nothing comes, keep-alives tell a slow engine from a silent link
    Given a sidecar
    And the sidecar's engine takes 7 seconds to its first token
    When a router starts "atelier/r1" at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    Then answer 1 of the sidecar is whole and has status 200
    And answer 1 of the sidecar had keep-alives and no silence

  Scenario: A link that falls silent is taken up again by offset
    The connection between router and sidecar loses all that the sidecar sends, and
    nothing is closed. The router notices the silence and follows again.
    Given a sidecar
    And the sidecar's engine takes 1 second for each token
    When a router starts "atelier/r1" at the sidecar
    And a router starts following "atelier/r1" at the sidecar
    And 3.5 seconds pass at the sidecar
    And what the sidecar sends vanishes
    And 7 seconds pass at the sidecar
    And the network of the sidecar is well again
    And 20 seconds pass at the sidecar
    Then answer 1 of the sidecar is whole and has status 200
    And answer 1 of the sidecar had a silence
    And the sidecar's engine got "atelier/r1" 1 time

  Scenario: The same key with another body is refused
    Given a sidecar
    When a router starts "atelier/r1" at the sidecar
    And a router starts "atelier/r1" at the sidecar with digest=d2
    Then the sidecar's replies are "started, other_body not run"
    And the sidecar's engine got "atelier/r1" 1 time

  Scenario Outline: What is refused did not run and is not run later
    Given a sidecar
    When <before>
    And a router starts "atelier/r1" at the sidecar with <fields>
    And 30 seconds pass at the sidecar
    Then the sidecar's last reply is "<code> not run"
    And the sidecar's engine got "atelier/r1" 0 times

    Examples:
      | before                                                    | fields     | code            |
      | epochs below 5 of porto-a are sealed at the sidecar       | epoch=4    | sealed_epoch    |
      | 0.1 seconds pass at the sidecar                           | within_s=0 | deadline_passed |
      | revision 2 of the configuration renames the server's models | revision=1 | old_revision  |
      | revision 2 of the configuration says that the server leaves | revision=2 | leaving       |
      | the platform's list says that the sidecar leaves          | revision=1 | leaving         |
      | a router tells the sidecar to drain                       | revision=1 | leaving         |
      | routers start 4 other runs at the sidecar                 | revision=1 | full            |

  Scenario: A router that is behind is not refused for changes that concern others
    Given a sidecar
    When a router starts "atelier/r0" at the sidecar
    And revision 9 of the configuration changes nothing of the server
    And a router starts "atelier/r1" at the sidecar with revision=1
    Then the sidecar's last reply is "started"

  Scenario: A seal reports what ran and what runs, and leaves other data centres alone
    Given a sidecar
    And the sidecar's engine takes 1 second for each token
    When a router starts "atelier/r1" at the sidecar
    And 20 seconds pass at the sidecar
    And a router starts "atelier/r2" at the sidecar
    And a router starts "atelier/r3" at the sidecar with epoch=5
    And epochs below 5 of porto-a are sealed at the sidecar
    And a router starts "atelier/r4" at the sidecar with data_centre=porto-b
    Then the seal told of "atelier/r1 ended 10, atelier/r2 dispatched 0"
    And the seal's records carry the bound, the batch and the incarnation
    And the sidecar's last reply is "started"

  Scenario: A cancel that finds no run keeps the START on its way from running
    The router's START got no answer, so it can't tell whether it arrived. It
    cancels; the sidecar knows of no run, and says "not run". Then the START comes.
    Given a sidecar
    When a router cancels "atelier/r1" at incarnation 5 of the sidecar
    And a router starts "atelier/r1" at the sidecar
    And a router starts "atelier/r1" at the sidecar with attempt=2
    Then the sidecar's replies are "cancel not run, cancelled not run, started"

  Scenario: A restarted sidecar never says of what it forgot that it did not run
    The sidecar ran a request and died before it could settle. Its next incarnation
    knows nothing of it: it must neither run the repeated START nor call it not run.
    Given a sidecar
    When a router starts "cutter/r1" at the sidecar with incarnation=5
    And the sidecar is restarted
    And a router starts "cutter/r1" at the sidecar with incarnation=5
    And a router cancels "cutter/r1" at incarnation 5 of the sidecar
    And a router fetches "cutter/r1" from the sidecar
    Then the sidecar's replies are "started, other_incarnation, cancel"
    And the sidecar's engine got "cutter/r1" 1 time
    And answer 1 of the sidecar ends as "unknown no_such_run"

  Scenario: A graceful stop cuts no answer
    The sidecar is told to stop while a run is under way. It refuses new work at once
    Its process ends only after the answer was fetched and settled.
    Given a sidecar
    And the sidecar's engine takes 1 second for each token
    When a router starts "atelier/r1" at the sidecar
    And a router starts following "atelier/r1" at the sidecar
    And the sidecar is stopped gracefully within 60 seconds
    And 1 second pass at the sidecar
    And a router starts "atelier/r2" at the sidecar
    And 20 seconds pass at the sidecar
    Then the sidecar's last reply is "leaving not run"
    And answer 1 of the sidecar is whole and has status 200
    And the sidecar's graceful stop took from 8 to 9 seconds

  Scenario: A graceful stop waits for an answer that nobody has fetched, but not for ever
    Given a sidecar
    When a router starts "atelier/r1" at the sidecar
    And the sidecar is stopped gracefully within 60 seconds
    And 60 seconds pass at the sidecar
    Then the sidecar's graceful stop took from 10 to 11 seconds

  Scenario: A graceful stop ends at its deadline
    Given a sidecar
    And the sidecar's engine takes 20 seconds for each token
    When a router starts "atelier/r1" at the sidecar
    And the sidecar is stopped gracefully within 15 seconds
    And 30 seconds pass at the sidecar
    Then the sidecar's graceful stop took from 15 to 16 seconds

  Scenario: Memory stays bounded: answers that were fetched make room for new ones
    Given a sidecar with answers_bytes=120000 and token_bytes=20 and max_running=100
    And the sidecar's engine answers 90 tokens
    When routers run and fetch 60 requests at the sidecar, one after another
    And a router fetches "many/r0" from the sidecar
    Then the sidecar never kept more than 120000 bytes
    And answers 1 to 60 of the sidecar are whole
    And answer 61 of the sidecar ends as "unknown answer_dropped"

  Scenario: Memory stays bounded: many short runs count what they take besides their answers
    Given a sidecar with answers_bytes=100000 and token_bytes=20
    And the sidecar's engine answers 1 tokens
    When routers run and fetch 60 requests at the sidecar, one after another
    Then the sidecar keeps at most 12 runs whole and remembers 60

  Scenario: Memory stays bounded: runs that nobody fetches are refused when it is full
    Given a sidecar with answers_bytes=60000 and token_bytes=20 and max_running=100
    When routers start 20 other runs at the sidecar
    And 5 seconds pass at the sidecar
    Then some of the sidecar's replies are "full not run" and the engine got only the others
    And the sidecar never kept more than 60000 bytes

  Scenario: A dropped answer never passes for the whole one, also while its bill is due
    Both holders are cut off, so the run can't be settled and stays as it is; its answer
    is dropped at its deadline all the same.
    Given a sidecar with keep_answer_s=10
    When the holders are cut off from the sidecar
    And a router starts "atelier/r1" at the sidecar
    And 20 seconds pass at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    Then answer 1 of the sidecar ends as "unknown answer_dropped"

  Scenario: An answer is dropped at its deadline, and the run forgotten only later
    Given a sidecar with keep_answer_s=10 and remember_s=50
    When a router starts "atelier/r1" at the sidecar with within_s=200
    And 20 seconds pass at the sidecar
    And a router fetches "atelier/r1" from the sidecar
    And a router starts "atelier/r1" at the sidecar
    And 60 seconds pass at the sidecar
    And a router starts "atelier/r1" at the sidecar
    And 140 seconds pass at the sidecar
    Then answer 1 of the sidecar ends as "unknown answer_dropped"
    And the sidecar's replies are "started, known, known"
    And the sidecar remembers 0 runs
