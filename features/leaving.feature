Feature: Instances and backend servers that leave under load
  Ten streamed requests a second come through all six routers of three data centres, and
  are served by six engines.  What counts is measured at the engine and at the callers.

  Scenario: A router is stopped gracefully with streams open
    Callers at this router get their streams to the end.  It says that it leaves, refuses
    what still comes as not run while the balancer notices, and ends with its last stream.
    When a router leaves under load
    Then nothing is cut while leaving
    And what the leaving router refused did not run

  Scenario Outline: A backend server leaves by <notice>
    Callers see nothing of it.  What runs at the server ends there; routers that hear of it
    choose others, and the server's last new request comes soon after the notice.
    When a backend server leaves under load by <notice>
    Then nothing is cut while leaving
    And nothing is refused while leaving
    And the leaving backend server gets no new work after 3 seconds

    Examples: Notices
      | notice              |
      | its own word        |
      | the platform's list |
      | an operator         |

  Scenario: The platform's list names a server of a parted data centre
    Callers of porto-c still reach its servers, and nobody else does.  Its own collector
    reads the list, so its routers hear of it without the other data centres.
    When a backend server of a parted data centre leaves under load by the platform's list
    Then nothing is cut while leaving
    And the leaving backend server gets no new work after 3 seconds

  Scenario: An operator drains a server of a data centre that is parted from all
    The notice is given in porto-a and in force there; porto-c reaches neither the others
    nor the store, so nobody there can know of it.  Its routers go on sending work to the
    server until the links heal, and stop within 3 s of that.
    When a backend server of an isolated data centre leaves under load by an operator
    Then nothing is cut while leaving
    And the isolated backend server gets no new work 3 seconds after the links heal

  Scenario: A change of configuration comes into force under load
    When the configuration changes under load
    Then the change is in force at all instances within 4 seconds
    And nothing is cut while leaving
