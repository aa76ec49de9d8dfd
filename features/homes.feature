Feature: Home regions of routes and accounts
  A route or an account may name the regions in which its requests are served.

  Scenario Outline: Requests stay in the home regions
    Requests of an account that has to be served in one region reached servers of another: no router
    read the homes that the operator declared.
    Given servers in "porto", "rajkot" and a data centre of no known region
    When 60 requests come on a route with homes "<route>" for an account with homes "<account>"
    Then they are placed in "<served>" alone

    Examples:
      | route         | account       | served              |
      | porto         |               | porto               |
      |               | rajkot        | rajkot              |
      | porto, rajkot | rajkot        | rajkot              |
      | porto, rajkot |               | porto, rajkot       |
      |               |               | porto, rajkot, none |

  Scenario: Homes that exclude each other
    Such a request can't be served anywhere: it is refused at once.
    Given servers in "porto", "rajkot" and a data centre of no known region
    When 3 requests come on a route with homes "porto" for an account with homes "rajkot"
    Then each is refused as not run, for "no server of the service is in a home region"

  Scenario: The home region is evacuated
    Given servers in "porto", "rajkot" and a data centre of no known region
    When the data centre of "porto" is evacuated
    And 3 requests come on a route with homes "porto" for an account with homes ""
    Then each is refused as not run, for "all servers of the service are in evacuated data centres"
