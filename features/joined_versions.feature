Feature: No stream is joined from two software versions
  Real routers and sidecars.  Callers take up what breaks off, at any router.  A server that starts again
  under its id writes its entry later: until then the store has that of its former version.

  Scenario Outline: Streams keep their version when <what>
    Failure: a router took a server for one of the version in its last entry.
    Given servers of versions <versions>
    When streams are read while <what>
    Then no stream of the processes has events of two versions

    Examples:
      | versions       | what                                                           |
      | v1, v1, v2, v2 | all routers are killed and both versions serve                 |
      | v1, v1, v2, v2 | the servers of v1 leave and all routers are killed             |
      | v1, v1, v2, v2 | all routers are killed and a server is back under its id at v2 |
      | v1, v2, v2     | a server is back under its id at v2                            |
      | v1, v1, v1     | a server is back under its id at v2                            |
      | v1, v2, v2     | a server is back under its id at v2 at once                    |
      | v1, v1         | a server that no router uses is back under its id at v2        |

  Scenario Outline: Streams keep their version at servers that report nothing, when <what>
    Whatever a broken connection does not disprove counts as the server of the entry.
    Given servers of versions <versions> that report nothing
    When streams are read while <what>
    Then no stream of the processes has events of two versions

    Examples:
      | versions   | what                                        |
      | v1, v2, v2 | a server is back under its id at v2         |
      | v1, v2, v2 | a server is back under its id at v2 at once |

  Scenario: Streams go on after all routers were killed
    Given servers of versions v1, v1, v2, v2
    When streams are read while all routers are killed and both versions serve
    Then streams of the processes continue at half the rate of new ones at least
