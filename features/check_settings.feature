Feature: Settings are checked before a process starts
  Each wrong or missing one is named with what is allowed, and the status is 2.

  Scenario: Good settings
    When the settings "router --instance router-1 --data-centre porto-a --store-urls etcd+http://127.0.0.1:1" are checked
    Then the check ends with status 0 and says "the settings of router-1 are good"

  Scenario Outline: Wrong settings
    When the settings "<flags>" are checked
    Then the check ends with status 2 and says "<text>"

    Examples:
      | flags                                                                                | text          |
      | router --instance router-1 --data-centre porto-a --store-urls etcd+http://127.0.0.1:1 --stop-within-s soon | stop-within-s |
      | router --data-centre porto-a --store-urls etcd+http://127.0.0.1:1                                          | --instance    |
      | nothing                                                                              | nothing       |

  Scenario: A check starts nothing
    The address is taken by another process; a start would fail, the check does not.
    When the settings of a router at an address that is taken are checked
    Then the check ends with status 0 and says "are good"
