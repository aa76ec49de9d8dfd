Feature: Evacuated data centres
  After an operator evacuates a data centre, its servers get no new requests until it is returned to
  service.

  Scenario: An evacuated data centre gets no new requests
    Requests were sent to servers of an evacuated data centre all the time: no router read the
    operator's key.
    Given 3 routers and 6 servers in three data centres
    When data centre porto-b is evacuated
    And 1 seconds go by for them
    And 40 requests come at each router
    Then servers of porto-b got none of them
    And each of them was answered by another server

  Scenario: A data centre that is returned to service gets requests again
    Given 3 routers and 6 servers in three data centres
    When data centre porto-b is evacuated
    And 2 seconds go by for them
    And data centre porto-b is taken back
    And 6 seconds go by for them
    And 40 requests come at each router
    Then servers of porto-b got some of them

  Scenario: A router that is cut off from the store learns it from the others
    Given 3 routers and 6 servers in three data centres
    When router 2 is cut off from the store
    And 2 seconds go by for them
    And data centre porto-b is evacuated
    And 2 seconds go by for them
    And 40 requests come at router 2
    Then servers of porto-b got none of them

  Scenario: A router that starts during an evacuation learns of it before it accepts requests
    Given 3 routers and 6 servers in three data centres
    When data centre porto-b is evacuated
    And a further router starts
    And 40 requests come at it
    Then servers of porto-b got none of them

  Scenario: An evacuation that is written while the store drops its history
    Given 3 routers and 6 servers in three data centres
    When data centre porto-a is evacuated
    And data centre porto-b is evacuated, and the store drops its history
    And data centre porto-a is taken back, and the store drops its history
    And 6 seconds go by for them
    And 40 requests come at each router
    Then servers of porto-b got none of them
    And servers of porto-a got some of them

  Scenario: All data centres evacuated
    Callers are told at once that their request has not run, and when to retry.
    Given 3 routers and 6 servers in three data centres
    When data centre porto-a is evacuated
    And data centre porto-b is evacuated
    And data centre porto-c is evacuated
    And 1 seconds go by for them
    And 4 requests come at router 0
    Then each of them was told to come back in 1 to 4 seconds
