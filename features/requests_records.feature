Feature: Records of requests
  Support engineers can look up what happened to a request at any router.

  Scenario: The record outlives the router and the holder
    The support engineer gets every step from any router.
    Ended records are written to the store in batches; the router that served the request and
    the holder that settled it have died.
    Given requests: a fleet in two data centres
    When requests: the record is searched for after its router and holder have died
    Then requests: the record says answered with the steps claimed, dispatched, started, first_token, ended, relayed, settled

  Scenario: The store is down and loses a reply
    The support engineer finds one record.
    Records wait while the store is down. A batch whose write took effect although the reply
    was lost is merged and not written twice.
    Given requests: a fleet in two data centres
    When requests: the store is down, then loses a reply, then works
    Then requests: the note "records stored" says 1
    And requests: the record says answered with the steps claimed, dispatched, settled
