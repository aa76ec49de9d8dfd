Feature: Operators who race each other
  One wins; each other one hears of it, and no change is lost without a word.

  Background:
    Given operators at 20 routers with the declarations applied

  Scenario: Twenty operators apply twenty files that were planned against one revision
    Each has read revision 1 and lowers or raises the same budget.  All write parts and
    audit records at once; the head takes one of them.  Nineteen hear a conflict that names
    the winner, and the winner's budget is in force.
    When operators apply 20 budgets of atelier at once against revision 1
    Then operators see 1 accepted and 19 conflicts that name it
    And operators see revision 2 standing, with the winner's budget in its record

  Scenario: Twenty operators drain twenty servers at once
    They touch different items: each retries on top of the others, nobody need ask again.
    When operators drain 20 servers at once
    Then operators see all 20 accepted
    And operators see revision 21 standing with 20 servers drained

  Scenario: Twenty operators change one rule at once, to different verdicts
    Each read the rule before any of them changed it.  Applied one on top of the other, the
    last alone would stand and the others be undone without a word; so these conflict.
    When operators rule records POST "never" and "caller" in turn, 20 at once
    Then operators see the standing rule accepted, and each other verdict in conflict with it

  Scenario: One change is sent through two routers at once
    The operator's command hung and was sent again through another router, with the same
    id, while the first was still under way.  It takes effect once and both hear the same.
    When operators send "drain server:porto-a/llm-1" as change d-1 through 2 routers at once
    Then operators see all 2 accepted
    And operators see revision 2 standing with 1 servers drained

  Scenario: Old parts are taken out of the store while twenty operators race
    Each change leaves parts behind; the next one tidies up, while others are about to
    bring the same contents in again, or wake up with a change begun long ago.  A part
    taken out that a head names would keep the configuration from every new instance.
    Given operators at 20 routers who tidy up after each change, with the declarations applied
    When operators race to drain and undrain 20 servers, 4 times
    Then operators see revision 161 standing with 0 servers drained
    And operators see a new router load the same from the store
    And operators see at most 12 parts more than the head names
    When operators wait 7200 seconds
    Then operators see at most 12 parts more than the head names, emptied ones counted

  Scenario: A change is tidied up after while the next one has written its parts alone
    The parts of the next revision are in the store before its head is.  Taken for old
    ones, they would be emptied and then be named: no new instance could start.
    Given operators at 2 routers who tidy up after each change, with the declarations applied
    When operators run "drain server:porto-a/llm-1", tidied up late, and "drain server:porto-a/llm-2"
    Then operators see all 2 accepted
    And operators see revision 3 standing with 2 servers drained
    And operators see a new router load the same from the store

  Scenario: A new router reads parts that are tidied up meanwhile
    It has read a head, and its parts are emptied before it gets to them.  It reads the
    newer head, which has to be there then.
    Given operators at 1 routers who tidy up after each change, with the declarations applied
    When operators load at a new router while "drain server:porto-a/llm-1" and "drain server:porto-a/llm-2" run
    Then operators see revision 3 loaded

  Scenario: Budgets of two changes are written in the other order than they were accepted
    The first change is accepted, and its write of the budget hangs for two seconds.  The
    second is accepted and written meanwhile.  The late write must not stay in force.
    When operators apply budgets 700 and then 900 of atelier while the first write hangs
    Then operators see a declared budget of 900 for atelier

  Scenario: A drain is not undone by a file that does not know of it
    When operators run "drain server:porto-a/llm-3" as change d-3
    And operators apply "1_000_000 => 2_000_000" against revision 2
    Then operators hear exit 0
    And operators see revision 3 standing with 1 servers drained
