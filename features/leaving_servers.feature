Feature: Servers that leave get no more requests
  A server says that it leaves, and goes on serving for a moment.  After that, what is sent to it
  finds nobody, or somebody else.

  Scenario: What another router heard before does not bring back a server that left
    Callers' requests reached a server 3.65 s after it had said that it leaves.  A router knew of
    it, then got no answer from the store in time, and asked another router.  That one had heard
    the store last before the server's word, told its older list, and the server was chosen again:
    "server_known leaving=False source=10.0.0.1:1" behind "leaving=True source=store".
    Given 2 routers that follow the entries of 2 servers
    When router 1 hears no more of the store
    And 0.2 seconds later server 0 says that it leaves
    And 0.1 seconds later router 0 knows of it, and hears no more of the store
    Then router 0 does not choose server 0 in the next 6 seconds

  Scenario: An answer of the store that was under way does not undo what came meanwhile
    While a router waits for the store's list of servers, another router tells it a newer one, in
    which a server leaves.  The store's answer comes after it, as of the moment it was made.
    Given a router that another one told as of version 5 that the only server leaves
    When the store's list of version 1 arrives, in which the server takes requests
    Then the router does not choose the server

  Scenario: A server that leaves while the connection to it is made gets nothing
    The way from the caller to the server took 0.77 s, where 10 ms are usual.  The server was
    chosen while it still took requests, and left before the connection to it was there.
    Given a router whose connections take 0.8 seconds
    When a request is sent, and 0.2 seconds later the chosen server says that it leaves
    Then the caller gets the answer of another server
    And the server that left was sent nothing

  Scenario: Sidecars that are gone do not make a store that answers look lost
    Sidecars are replaced, and stay on record for 90 s.  Each time that routers follow the store
    through one that is gone, "store_lost_directly TimeoutError" is logged though the store
    answers: the time that the sidecar took is taken from the direct call's, which waits longer
    than what is left.  All routers then ask each other for what they hear.
    Given 10 routers that follow the entries of 2 servers through 3 sidecars
    When the sidecars are gone, and stay on record
    And all routers are watched for 12 seconds
    Then no router took the store for lost
