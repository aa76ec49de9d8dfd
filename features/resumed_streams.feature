Feature: Streams continue at the software version that began them
  What two versions of a server write does not fit together.  Servers do not check it.

  Scenario Outline: A stream does not change its version on any way by which it continues
    Servers of two versions serve side by side; most have the other version than the stream.
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 4 servers of version v2
    And 24 streams that have begun
    When they continue <way>
    Then no stream has events of two versions
    And all streams are complete

    Examples:
      | way                                    |
      | by the router itself within one answer |
      | at the same router                     |
      | at another router                      |
      | after its router was killed            |
      | after its router was restarted         |
      | after all routers were restarted       |
      | across a cut between machines          |
      | through a hand-over between sidecars   |
      | twice over                             |

  Scenario Outline: A stream that began before a release continues at its version
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 24 streams that have begun
    When 6 servers of version v2 start
    And they continue <way>
    Then no stream has events of two versions
    And all streams are complete

    Examples:
      | way                          |
      | at the same router           |
      | after its router was killed  |
      | after all routers were restarted |

  Scenario: A stream is refused once no server of its version is left
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 4 servers of version v2
    And 24 streams that have begun
    When the servers of version v1 leave
    And they continue at another router
    Then no stream has events of two versions
    And the streams of version v1 are refused as not run, with code stream_version_gone

  Scenario: A stream is refused where nobody knows its version
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 4 servers of version v2
    And 24 streams that have begun
    When all processes of the fleet are killed and start again
    And they continue at another router
    Then no stream has events of two versions
    And the streams of version v1 are refused as not run, with code stream_version_unknown

  Scenario: A stream continues although nobody remembers it, while the service has had one version
    Given 3 routers and 4 sidecars
    And 4 servers of version v1
    And 24 streams that have begun
    When all processes of the fleet are killed and start again
    And they continue at another router
    Then no stream has events of two versions
    And all streams are complete

  Scenario: Streams whose router is gone continue about as often as new ones begin
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 6 servers of version v2
    And 24 streams that have begun
    When their callers return to another router while 24 new streams begin
    Then no stream has events of two versions
    And streams continue at half the rate of new ones at least

  Scenario: A stream continues at the service that began it, though its route leads to two
    The service is drawn by the id of the request, and each try has another id.
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 2 servers of version w1 at another service, to which the route leads too
    And 24 streams that have begun
    When they continue after its router was killed
    Then no stream has events of two versions
    And all streams are complete

  Scenario: A stream is refused once its route has left the service that began it
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 2 servers of version w1 at another service, to which the route leads too
    And 24 streams that have begun
    When the route leads to the other service alone
    And they continue at another router
    Then no stream has events of two versions
    And the streams of version v1 are refused as not run, with code stream_version_gone

  Scenario: No stream begins at a version that is not on record
    A router that knows neither the stream nor the version would take the recorded one for the only one.
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    When the store refuses writes
    And 4 servers of version v2 start
    And 24 more streams begin
    And they continue at the same router
    Then all streams are of version v1
    And all streams are complete

  Scenario: A version without servers leaves the record
    Otherwise streams that nobody remembers would be refused for good after the first release.
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    And 2 servers of version v2
    When the servers of version v1 leave
    And 11 minutes pass
    And 24 more streams begin
    And all processes of the fleet are killed and start again
    And they continue at another router
    Then all streams are complete

  Scenario: Nothing is copied while services have one version
    Given 3 routers and 4 sidecars
    And 2 servers of version v1
    When 2 streams a second begin at each router for 3 s
    Then nothing is copied

  Scenario: Copies fit into the bandwidth for control
    2,400 streams a second at 410 routers are 6 at each, and control may take 5 KB a second there.
    Given 8 routers and 16 sidecars
    And 2 servers of version v1
    And 2 servers of version v2
    When 6 streams a second begin at each router for 5 s
    Then copies take at most 5000 bytes a second of each of 8 routers
