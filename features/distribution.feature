Feature: Distribution of the configuration
  An accepted change is in force at every instance within 4 s and never reverts.

  Background:
    Given a distribution over 4 routers and 2 sidecars in each of porto-a, porto-b, porto-c
    And a distribution where revision 1 is in force everywhere

  Scenario: A change without any failure
    When the distribution accepts revision 2
    Then the distribution has revision 2 in force everywhere within 1 seconds

  Scenario: The first relay of a data centre fails at the time of a change
    Its pushes are never sent.  The second relay also watches the store and pushes to its
    children; the children of the failed relay switch to another router, whose heartbeat
    replies contain the new revision.
    When the distribution loses the first relay of porto-a
    And the distribution accepts revision 2
    Then the distribution has revision 2 in force everywhere within 4 seconds

  Scenario: Both relays of a data centre fail at the time of a change
    No other router of the data centre watches the store.  The collector of another data
    centre reports the revision; if the first two routers don't reply, it reports it to the
    next router, which pulls it.
    When the distribution loses both relays of porto-a
    And the distribution accepts revision 2
    Then the distribution has revision 2 in force everywhere within 4 seconds

  Scenario: A relay loses the links to its peers but still reads the store
    It has the change and can't push it.  Its children send their heartbeats to another
    router after one heartbeat without a reply.
    When the distribution disconnects the first relay of porto-b from its peers
    And the distribution accepts revision 2
    Then the distribution has revision 2 in force everywhere within 4 seconds

  Scenario: Watches stop delivering changes without an error
    A device between relay and store has dropped the connections.  No watch fails, no error
    is reported; the first relay gets the change by polling the head.
    When the distribution's watches stop delivering changes
    And the distribution accepts revision 2
    Then the distribution has revision 2 in force everywhere within 4 seconds

  Scenario: A data centre can't reach the store
    Its relays fail to read the store and log store_lost.  The other data centres report the
    revision immediately.
    When the distribution's store is unreachable from porto-c
    And the distribution accepts revision 2
    Then the distribution has revision 2 in force everywhere within 1 seconds
    And the distribution logged store_lost

  Scenario: An instance misses every push
    The connection from its parent is broken in one direction.  The reply to its next heartbeat
    names the higher revision, and it pulls the missing parts of several revisions at once.
    When the distribution drops all pushes to porto-a/s1
    And the distribution accepts revision 2
    And the distribution accepts revision 3
    Then the distribution has revision 3 in force everywhere within 4 seconds

  Scenario: The store is down for a long time and returns before the next change
    When the distribution's store is down for 120 seconds
    Then the distribution has revision 1 in force everywhere within 0 seconds
    When the distribution accepts revision 2
    Then the distribution has revision 2 in force everywhere within 4 seconds

  Scenario: The store returns with an older revision
    It was restored from a backup.  Applying the old revision would restore a budget that was
    lowered since; every instance keeps its revision and logs an error event for operators.
    When the distribution accepts revision 3
    And the distribution runs for 3 seconds
    And the distribution's store has revision 2 again
    And the distribution runs for 10 seconds
    Then the distribution has revision 3 in force everywhere within 0 seconds
    And the distribution logged store_went_back

  Scenario: A head of a newer format
    Operators have used the next release.  This release can't decode its head completely, so
    it keeps the revision in force and logs that, until it is replaced.
    When the distribution's store has revision 2 in a newer format
    And the distribution runs for 10 seconds
    Then the distribution has revision 1 in force everywhere within 0 seconds
    And the distribution logged newer_format

  Scenario: A head whose part is missing
    A configuration comes into force completely or not at all; the next complete one does.
    When the distribution's store has revision 2 with a part that is not there
    And the distribution runs for 5 seconds
    Then the distribution has revision 1 in force everywhere within 0 seconds
    And the distribution logged configuration_unreadable
    When the distribution accepts revision 3
    Then the distribution has revision 3 in force everywhere within 4 seconds

  Scenario: An instance starts while the store is down
    The platform replaces instances during an outage too.  An instance without accounts would
    refuse all callers, so it pulls the revision from the peers in its settings.
    When the distribution's store is down
    And the distribution has a new router porto-a/r9
    And the distribution has a new sidecar porto-b/s9
    Then the distribution has revision 1 in force everywhere within 3 seconds

  Scenario: A push arrives damaged
    The receiver can't unpack it; it keeps the revision in force, logs the error, and pulls
    after its next heartbeat.
    When the distribution pushes garbage as revision 9 to porto-a/s1
    Then the distribution has revision 1 in force everywhere within 0 seconds
    And the distribution logged configuration_unreadable

  Scenario: A push of an old revision arrives late
    When the distribution accepts revision 5
    And the distribution runs for 2 seconds
    Then a late push of revision 1 to each instance of the distribution changes nothing

  Scenario: A router that gets a request under a higher revision catches up first
    A router of another data centre requests a claim under revision 2.  The instances of its
    own data centre can't reach it and it is no relay, but it must not apply revision 1.
    When the distribution disconnects porto-a/r1 from its own data centre
    And the distribution accepts revision 2
    And the distribution runs for 0.1 seconds
    Then porto-a/r1 of the distribution catches up with porto-b/r0 to revision 2 at once

  Scenario: A data centre is cut off during changes
    It keeps its revision, because the store is unreachable as well; after the partition it
    moves directly to the latest revision.
    When the distribution disconnects porto-a from all others and the store
    And the distribution accepts revision 2
    And the distribution accepts revision 3
    And the distribution runs for 60 seconds
    Then the distribution has revision 1 in force in porto-a
    When the distribution is restored
    Then the distribution has revision 3 in force everywhere within 4 seconds

  Scenario: Twenty changes in a row
    When the distribution accepts 20 revisions from 2 on
    Then the distribution has revision 21 in force everywhere within 1 seconds
    And the distribution never moved to a lower revision

  Scenario: Number of store calls
    The two relays of each data centre hold a watch, which they restart with a read every
    minute, and one of them reads the head every three seconds.
    When the distribution runs for 60 seconds
    Then the distribution has 6 watches open and made at most 68 reads in 60 seconds
