Feature: The configuration store over the etcd JSON gateway
  Run in virtual time over two URLs of one stand-in for the gateway, except for the
  last two scenarios.

  Scenario: platform store: Keys, versions and leases
    Given platform store: a store at 2 URLs
    When platform store: "a" is written from version 0 and again from version 0
    Then platform store: the outcomes are stored, conflict at 1
    When platform store: "b" is written under a lease of 5 seconds that is not extended
    Then platform store: 10 seconds later "b" is gone and the lease can't be extended

  Scenario: platform store: A list longer than a page
    Each reply has a size limit, so a list is requested page by page.
    Given platform store: a store at 2 URLs
    And platform store: 150 keys under "shards/" and others before and after them
    When platform store: "shards/" is listed
    Then platform store: the list has those 150 keys in order, from 3 replies

  Scenario: platform store: The response to a write is lost
    The writer gets "unsure" and finds its value when it reads back.
    The store applies the write and closes the connection.  The write is not sent to the
    other URL: it would conflict with itself and be reported as another writer's change.
    Given platform store: a store at 2 URLs
    When platform store: the response to a write of "a" is lost
    Then platform store: the write was unsure and was sent once
    And platform store: "a" holds the value

  Scenario: platform store: One URL refuses connections
    The write succeeds: nothing was sent to the first URL, so the second may be tried.
    Given platform store: a store at 2 URLs
    When platform store: the first URL refuses connections and "a" is written
    Then platform store: the outcomes are stored

  Scenario: platform store: One URL does not respond
    The reader gets its value after 2 seconds, from the second URL.  The writer gets
    "unsure" at its deadline, and its write is sent once.
    Given platform store: a store at 2 URLs
    When platform store: the first URL does not respond and "a" is read with 10 seconds
    Then platform store: the read was answered after 2 to 2.1 seconds
    When platform store: neither URL responds and "a" is written with 10 seconds
    Then platform store: the write was unsure after 10 to 10.1 seconds

  Scenario: platform store: An open connection does not respond
    The reader gets its value after 2 seconds.  A device in the network has lost the state of
    the open connection to the only URL; a new one to the same URL works.
    Given platform store: a store at 1 URLs
    When platform store: the open connection does not respond and "a" is read with 10 seconds
    Then platform store: the read was answered after 2 to 2.1 seconds

  Scenario: platform store: One URL does not respond while a lease is extended
    The holder keeps its lease: the call may be sent twice, so the next URL is tried.
    Given platform store: a store at 2 URLs
    When platform store: the first URL does not respond and a lease is extended with 10 seconds
    Then platform store: the read was answered after 2 to 2.1 seconds

  Scenario: platform store: The store refuses a call
    The writer gets "unreachable", since nothing took effect: the reply has a gRPC code about the
    call itself, here for a lease that has expired.  After a code about the state of the store
    the write is "unsure".
    Given platform store: a store at 2 URLs
    When platform store: writes are answered with HTTP 400 and code 5
    Then platform store: the write was unreachable and was sent once
    When platform store: writes are answered with HTTP 503 and code 14
    Then platform store: the write was unsure and was sent once

  Scenario: platform store: A watch receives nothing
    The watch fails after 5 seconds, and the watcher lists again; otherwise it would keep an old
    configuration for ever.  While the store runs, its progress messages keep the watch open.
    Given platform store: a store at 2 URLs
    When platform store: "a" is watched for 60 seconds and then nothing responds
    Then platform store: the watch broke 4 to 6 seconds after that

  Scenario: platform store: The version of the watched key was compacted
    The watcher gets the next change.  The head of the configuration was written once,
    long ago, and the store has compacted past it.  A watch from its version breaks, and breaks
    again after the next read; so the watch starts at the revision of the last read.
    Given platform store: a store at 2 URLs
    When platform store: "a" is written, then 20 other keys, and the store compacts
    And platform store: "a" is watched from a version that was not read
    Then platform store: the watch broke
    When platform store: "a" is read, watched from its version, and written
    Then platform store: the watch reported the new value

  Scenario: platform store: One instance calls the store in a fast loop
    Calls beyond the instance's share are refused; the store gets no more than this share.
    A loop reads for 10 seconds as fast as it can; the burst is 100, the rate 10 a second.
    Given platform store: a store at 2 URLs
    And platform store: the instance has 10 reads a second and a burst of 10 seconds' worth
    When platform store: "a" is read without pause for 10 seconds
    Then platform store: the store saw 190 to 210 reads

  Scenario: platform store: The store is down
    Given platform store: a store at 2 URLs
    When platform store: the store goes down during a watch
    Then platform store: the watch broke
    And platform store: a read is unreachable

  Scenario: platform store: Kinds of stores by URL
    Then platform store: the URLs "etcd+http://127.0.0.1:1" open a store
    And platform store: the URLs "http://127.0.0.1:1" are refused with "etcd+http"
    And platform store: the URLs "zookeeper+http://127.0.0.1:1" are refused with "there is: etcd"

  Scenario: platform store: Over a real socket
    The same gateway behind a real HTTP server; the watch is opened before the write.
    Then platform store: over a socket a watch reports a write

  Scenario: platform store: Over TLS with a private certificate authority
    No call is sent to a store with a certificate of another authority.
    Then platform store: a store with the certificate "fleet" is written to
    And platform store: a store with the certificate "stranger" is unreachable
    And platform store: a missing authority file is reported to the user
