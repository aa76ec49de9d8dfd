Feature: The query language

  Background:
    Given query records
      | id   | account | outcome  | cost | server        | ago_s | provisional |
      | r-17 | atelier | answered | 1200 | porto-b/llm-3 | 600   | no          |
      | r-18 | atelier | unknown  | 0    | porto-a/llm-1 | 7000  | yes         |
      | r-19 | bistro  | unknown  | 80   | porto-b/llm-3 | 90000 | no          |

  Scenario Outline: <query>
    When query "<query>" is asked
    Then query finds <found>

    Examples:
      | query                                     | found            |
      | account:atelier                           | r-17, r-18       |
      | account:atelier cost:1000..               | r-17             |
      | cost:..80                                 | r-18, r-19       |
      | cost:80..1.2k                             | r-17, r-19       |
      | cost:80                                   | r-19             |
      | since:2h outcome:unknown                  | r-18             |
      | before:2h                                 | r-19             |
      | claimed:2d..1h                            | r-18, r-19       |
      | claimed:2023-11-13                        | r-19             |
      | claimed:2023-11-14T20:00..                | r-17, r-18       |
      | -outcome:unknown                          | r-17             |
      | server:~LLM-3 -account:bistro             | r-17             |
      | id:r-17 , id:r-19                         | r-17, r-19       |
      | account:bistro , cost:1000.. -provisional:yes | r-17, r-19   |
      | provisional:yes                           | r-18             |
      | step:~claim                               | r-17, r-18, r-19 |
      | key:atelier/r-18                          | r-18             |
      | id:'r-17'                                 | r-17             |
      | account:nobody                            | none             |

  Scenario Outline: A mistake in <query>
    When query "<query>" is asked
    Then query fails with "<message>" under "<word>"

    Examples:
      | query                  | message                        | word          |
      | cots:5                 | there is no field 'cots'       | cots          |
      | account:x cost:lots    | a number such as               | cost:lots     |
      | cost:~5                | has no parts                   | cost:~5       |
      | account:a..b           | has no ranges                  | account:a..b  |
      | since:1h..2h           | one time such as since:2h      | since:1h..2h  |
      | since:yesterday        | a time such as 2h (ago)        | since:yesterday |
      | provisional:maybe      | yes or no                      | provisional:maybe |
      | atelier                | a term is written field:value  | atelier       |
      | , id:r-17              | a comma parts two alternatives | ,             |
      | cost:1..2..3           | this is not understood         | .             |

  Scenario: What an instance is asked means the same moment everywhere
    Requests travel; "2h ago" must not depend on when or where they arrive.
    When query "since:2h -outcome:unknown , before:90s id:'a b'" is made absolute
    Then query reads "since:@1699992800.000000 -outcome:unknown , before:@1699999910.000000 id:'a b'"

  Scenario: No text whatever breaks the reader or the matcher
    Then query takes or refuses any text with a message

  Scenario: Items that are written and read again are the same
    Then query items survive writing and reading
