Feature: Replies without end from the platform, from engines and from other instances
  Failure: a store, a list or an instance in trouble sent bytes without end, and until the deadline of
  the call they filled the memory of the process.

  Scenario Outline: A reply without an end is given up
    Given endless replies: a peer that sends <sent> without end
    When endless replies: <call> is called
    Then endless replies: the call ended with <error> within 2 seconds
    And endless replies: at most 64 MB were held

    Examples:
      | sent      | call                | error                 |
      | a body    | a read of the store | StoreUnreachable      |
      | a body    | a poll of the store | StoreUnreachable      |
      | a body    | a write to it       | StoreWriteUnconfirmed |
      | a head    | a read of the store | StoreUnreachable      |
      | a body    | a read of etcd      | StoreUnreachable      |
      | a body    | a write to etcd     | StoreWriteUnconfirmed |
      | a line    | a watch of etcd     | StoreUnreachable      |
      | a head    | a read of etcd      | StoreUnreachable      |
      | a body    | the instance list   | ListUnreadable        |
      | a body    | a load report       | ServerLost            |
      | a head    | a load report       | ServerLost            |

  Scenario: A reply of another instance that is too large is not read
    Given endless replies: an instance that answers a call with 96 MB where 1 MB is allowed
    When endless replies: the instance is called
    Then endless replies: the call ended with PeerNoReply within 2 seconds
    And endless replies: at most 16 MB were held beyond the message itself
