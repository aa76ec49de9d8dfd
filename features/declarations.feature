Feature: Declarations in files
  What is wrong is told before anything is sent, with file, table, key and what is allowed.

  Scenario Outline: The example of <firm> is well
    When declarations of examples/<firm>.toml are checked
    Then declarations have 10 accounts, <servers> servers and 3 data_centres
    And declarations come back the same from their parts

    Examples:
      | firm     | servers |
      | azulejo  | 9       |
      | nestkala | 12      |

  Scenario Outline: A mistake: <new>
    When declarations of examples/azulejo.toml have "<old>" replaced by "<new>"
    Then declarations are refused with "<place>" and "<allowed>"

    Examples:
      | old                        | new                          | place                               | allowed                           |
      | [accounts.trial]           | [acounts.trial]              | [acounts]: there is no such table   | accounts, models, services        |
      | budget_tokens = 100_000    | budget = 100_000             | [accounts.trial] budget:            | budget_tokens, priority           |
      | budget_tokens = 100_000    | budget_tokens = -1           | [accounts.trial] budget_tokens:     | a whole number from 0             |
      | budget_tokens = 100_000    | budget_tokens = true         | [accounts.trial] budget_tokens:     | a whole number from 0             |
      | budget_tokens = 100_000    | priority = 1                 | not TOML                            | line                              |
      | [accounts.trial]           | [accounts."tri al"]          | the name 'tri al' is not allowed    | letters, digits                   |
      | [accounts.trial]           | [accounts."trial/2"]         | accounts."trial/2"                  | the name of an account has no /   |
      | kind = "service"           | kind = "plain"               | [servers."porto-a/app-1"] kind:     | one of engine, service            |
      | service = "boards"         | service = "bords"            | [servers."porto-a/app-1"] service:  | declared are: boards              |
      | models = ["board", "caption"] | models = ["bord"]         | [servers."porto-a/llm-1"] models:   | declared are: board               |
      | models = ["board", "caption"] | models = []               | [servers."porto-a/llm-1"] models:   | an engine has at least one        |
      | url = "http://10.1.2.1:8000" | url = "10.1.2.1:8000"      | [servers."porto-a/llm-1"] url:      | a URL such as                     |
      | data_centre = "porto-c"    | data_centre = "porto-d"      | data_centre: there is no 'porto-d'  | porto-a                           |
      | slots = 32                 | slots = "32"                 | slots: '32' is not allowed          | a whole number                    |
      | repeat = "never"           | repeat = "no"                | [repeat_rules number 1] repeat:     | one of may, never, caller         |
      | role = "operator"          | role = "support"             | [operators]                         | at least one has to have the role |
      | routing.service = "least_outstanding" | routing.service = "fastest" | [policy] routing.service: | least_outstanding              |
      | routing.service = "least_outstanding" | routing.speed = "x"  | [policy] routing.speed:             | there is no such key              |

  Scenario: A key in clear is refused and not shown
    It would be written to logs and terminals, and kept by those who read them.
    When declarations of examples/azulejo.toml have a key in clear for trial
    Then declarations are refused with "[accounts.trial] key_digests" and "endivesaddle keys"
    And declarations do not show the key

  Scenario: One key for two accounts is refused
    One of them would pay for what the other asks.
    When declarations of examples/azulejo.toml have the key of sete-rooms for trial
    Then declarations are refused with "[accounts."trial"] key_digests" and "is a key of sete-rooms too"

  Scenario: All mistakes are told at once
    When declarations of examples/azulejo.toml have "slots = 32" replaced by "slot = 32"
    Then declarations are refused at 6 places

  Scenario: A part that is missing or damaged
    A configuration comes into force whole or not at all.
    When declarations of examples/azulejo.toml are checked
    Then declarations lack nothing silently when a part is missing or damaged

  Scenario: What is kept from the revision before gives the same as making all anew
    An instance that kept a wrong part would be in force with a configuration that nobody
    applied, and no digest would tell.
    When declarations of examples/nestkala.toml are checked
    Then declarations that change step by step are kept alike

  Scenario: No file whatever breaks the reader
    Then declarations take or refuse any file with a message
