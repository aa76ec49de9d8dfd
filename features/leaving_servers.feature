Feature: Servers that leave get no more requests
  A server that leaves announces it and keeps serving for a short time.  Requests that are sent to
  it after that find nothing at its address, or another server.

  Scenario: An older list of another router does not bring back a server that left
    Callers' requests reached a server 3.65 s after it had announced that it leaves.  A router knew
    of it, then got no answer from the store in time, and asked another router.  That one had read
    the store before the announcement and sent its older list, so the server was chosen again:
    "server_known leaving=False source=10.0.0.1:1" behind "leaving=True source=store".
    Given 2 routers that watch the entries of 2 servers
    When router 1 gets no more answers of the store
    And 0.2 seconds later server 0 announces that it leaves
    And 0.1 seconds later router 0 knows of it, and gets no more answers of the store
    Then router 0 does not choose server 0 in the next 6 seconds

  Scenario: A delayed answer of the store does not undo a newer report
    While a router waits for the store's list of servers, another router sends it a newer one, in
    which a server leaves.  The store's answer arrives afterwards, but is older.
    Given a router to which another reported as of version 5 that the only server leaves
    When the store's list of version 1 arrives, in which the server takes requests
    Then the router does not choose the server

  Scenario: A server that leaves while a connection to it is being opened gets no request
    The request took 0.77 s from the caller to the server, where 10 ms are usual.  The server was
    chosen while it still accepted requests, and left before the connection to it was open.
    Given a router whose connections take 0.8 seconds
    When a request is sent, and 0.2 seconds later the chosen server announces that it leaves
    Then the caller gets the response of another server
    And the server that left received nothing

  Scenario: Sidecars that are gone do not make an available store look lost
    Sidecars are replaced, and stay registered for 90 s.  Each time that routers watched the store
    through one that was gone, "store_lost_directly TimeoutError" was logged although the store
    answered: the time spent on the sidecar was subtracted from the direct call's, whose wait is
    longer than what was left.  All routers then asked each other for copies of the store.
    Given 10 routers that watch the entries of 2 servers through 3 sidecars
    When the sidecars are gone, but stay registered
    And all routers are watched for 12 seconds
    Then no router took the store for lost
