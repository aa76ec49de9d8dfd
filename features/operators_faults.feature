Feature: Operators while the store fails
  "accepted" is only said of what stands, "not accepted" only of what never will.

  Background:
    Given operators at 1 routers with the declarations applied

  Scenario Outline: The answer to the write of <what> is lost
    The operator waits a moment longer and hears yes; it happened once.  The write has taken
    effect, has not, or does so late, after it was sent again; the key is read back and
    written again under the same version, so it can't take effect twice.
    When operators have the store fault <fault> at <key>
    And operators run "drain server:porto-a/llm-1" as change d-1
    Then operators hear exit 0 with "accepted: revision 2"
    When operators wait 5 seconds
    Then operators see revision 2 standing with 1 servers drained

    Examples:
      | what         | key                 | fault   |
      | the head     | configuration/head  | LOST    |
      | the head     | configuration/head  | DROPPED |
      | the head     | configuration/head  | LATE    |
      | a part       | configuration/parts | LOST    |
      | a part       | configuration/parts | LATE    |
      | audit id     | audit/ids           | LOST    |
      | audit record | audit/days          | LATE    |

  Scenario: The store goes down right after the head was written, and the answer is lost
    The operator must hear neither yes nor no.  Once the store is back, the same command
    with the same id finds that it stood all the time, and changes nothing more.
    When operators have the store fault LAST at configuration/head
    And operators run "drain server:porto-a/llm-1" as change d-1
    Then operators hear exit 4 with "ask again with --change-id d-1"
    When operators have the store back
    And operators run "drain server:porto-a/llm-1" as change d-1
    Then operators hear exit 0 with "accepted before, by this same change: revision 2"
    And operators see revision 2 standing with 1 servers drained

  Scenario: The store is down
    When operators have the store down
    And operators run "drain server:porto-a/llm-1" as change d-1
    Then operators hear exit 1 with "not accepted"
    When operators run "top-up atelier 500" as change t-1
    Then operators hear exit 1 with "not accepted"
    When operators have the store back
    Then operators see revision 1 standing with 0 servers drained
    And operators see 1000000 tokens paid in for atelier

  Scenario: The store goes down after the parts and before the head
    Parts that no head names are of no effect.  The same change goes through afterwards.
    When operators have the store fault OUTAGE at configuration/parts
    And operators run "drain server:porto-a/llm-1" as change d-1
    Then operators hear exit 1 with "not accepted"
    When operators have the store back
    Then operators see revision 1 standing with 0 servers drained
    When operators run "drain server:porto-a/llm-1" as change d-1
    Then operators hear exit 0 with "accepted: revision 2"

  Scenario: An apply is more than the router's share of store calls carries in time
    Nothing is in force at first: the head comes last.  Sent again, it goes on where it
    stopped instead of beginning anew for ever.
    When operators have the store take 0.2 writes a second
    And operators apply "http://10.0.1 => http://10.0.2" against revision 1 as change a-1
    Then operators hear exit 1 with "not accepted"
    And operators see revision 1 standing with 0 servers drained
    When operators send that apply again, 3 times at the most
    Then operators see revision 2 standing with 0 servers drained

  Scenario: An old change is sent again when others came after it
    A script repeats its command a day later.  The head has forgotten the change; the audit
    has not.  Draining again would take out a server that somebody brought back.
    When operators run "drain server:porto-a/llm-1" as change d-1
    And operators run "undrain server:porto-a/llm-1" as change u-1
    And operators drain and undrain porto-a/llm-2 10 times
    And operators run "drain server:porto-a/llm-1" as change d-1
    Then operators hear exit 0 with "accepted before, by this same change: revision 2"
    And operators see revision 23 standing with 0 servers drained

  Scenario: An id is used for two different changes
    When operators run "drain server:porto-a/llm-1" as change d-1
    And operators run "drain server:porto-a/llm-2" as change d-1
    Then operators hear exit 3 with "d-1 stands for another change"
    And operators see revision 2 standing with 1 servers drained

  Scenario: An id is used for two different top-ups
    When operators run "top-up atelier 500 id:inv-1" as change t-1
    And operators run "top-up atelier 700 id:inv-2" as change t-1
    Then operators hear exit 3 with "t-1 stands for another change by ines at 2023-11-14T22:13:20"
    And operators see 1000500 tokens paid in for atelier

  Scenario: A top-up's answer is lost and the store goes down
    The customer has paid once.  "unknown" leads to the same id again, and counts once.
    When operators have the store fault LAST at budgets/
    And operators run "top-up atelier 500 id:inv-311" as change t-1
    Then operators hear exit 4 with "ask again with --change-id t-1"
    When operators have the store back
    And operators run "top-up atelier 500 id:inv-311" as change t-1
    Then operators hear exit 0 with "accepted before"
    And operators see 1000500 tokens paid in for atelier

  Scenario: A top-up is made twice under different change ids and one invoice
    When operators run "top-up atelier 500 id:inv-311" as change t-1
    And operators run "top-up atelier 500 id:inv-311" as change t-2
    Then operators hear exit 0 with "accepted before"
    When operators run "top-up atelier 700 id:inv-311" as change t-3
    Then operators hear exit 1 with "not accepted"
    And operators see 1000500 tokens paid in for atelier

  Scenario: Tokens that a lost holder left stranded are written off
    Callers are refused for want of tokens that nobody can prove to be unspent.  The
    operator looks up what the engine served; a lost answer and a second try change nothing.
    When operators have 900 tokens of atelier stranded of epoch 3 in porto-a
    And operators run "write-off atelier 901 data_centre:porto-a epoch:3" as change w-1
    Then operators hear exit 1 with "not accepted"
    When operators have the store fault LOST at budgets/
    And operators run "write-off atelier 200 data_centre:porto-a epoch:3" as change w-2
    Then operators hear exit 0 with "accepted"
    And operators see 200 tokens spent and 0 stranded for atelier
    When operators run "write-off atelier 200 data_centre:porto-a epoch:3" as change w-3
    Then operators hear exit 1 with "not accepted"
    And operators see 200 tokens spent and 0 stranded for atelier

  Scenario: The store goes down between the head and the budgets of an apply
    The configuration stands and the budget is as before: neither a yes nor a no would be
    true.  The same change sent again only writes the budget.
    When operators have the store fault OUTAGE at configuration/head
    And operators apply "1_000_000 => 2_000_000" against revision 1 as change a-1
    Then operators hear exit 4 with "send the change again"
    When operators have the store back
    Then operators see a declared budget of 1000000 for atelier
    When operators apply "1_000_000 => 2_000_000" against revision 1 as change a-1
    Then operators hear exit 0 with "accepted before"
    And operators see a declared budget of 2000000 for atelier
    And operators see revision 2 standing with 0 servers drained

  Scenario: A budget is lowered below what a holder may spend
    When operators have 600000 tokens of atelier granted to a holder
    And operators apply "1_000_000 => 500_000" against revision 1
    Then operators hear exit 1 with "not accepted"
    And operators see revision 1 standing with 0 servers drained
    When operators apply "1_000_000 => 600_000" against revision 1
    Then operators hear exit 0
    And operators see a declared budget of 600000 for atelier

  Scenario: A holder is granted tokens while a budget is being lowered
    The check finds the budget free; then the head's write takes two seconds, and a holder
    raises its ceiling.  The record refuses the lower amount and the operator hears of it:
    lowered all the same, the grants would exceed what was paid in.
    When operators apply "1_000_000 => 500_000" while a holder is granted 600000 tokens
    Then operators hear exit 1 with "accepted, but 1 budgets stay as they were"
    And operators see a declared budget of 1000000 for atelier

  Scenario: An account that was topped up is lowered and raised by its file
    When operators run "top-up atelier 500" as change t-1
    And operators apply "1_000_000 => 1" against revision 1
    Then operators hear exit 0
    And operators see 501 tokens paid in for atelier

  Scenario: The store comes back with an older state
    A copy was restored.  A change on top of it would reuse a revision that instances have
    passed, and be in force nowhere; it is refused until the store is put right.
    When operators keep a copy of the store
    And operators run "drain server:porto-a/llm-1" as change d-1
    And operators have the copy of the store restored
    And operators run "drain server:porto-a/llm-2" as change d-2
    Then operators hear exit 1 with "the store went back to revision 1; 2 is in force"
    When operators run "restore" as change w-1
    Then operators hear exit 0 with "accepted: revision 1002, with all of 2"
    And operators see revision 1002 standing with 1 servers drained
    And operators see a new router load the same from the store
    When operators run "restore" as change w-1
    Then operators hear exit 0 with "accepted before"
    When operators run "restore" as change w-2
    Then operators hear exit 1 with "nothing is lost"
    When operators run "drain server:porto-a/llm-2" as change d-3
    Then operators hear exit 0 with "accepted: revision 1003"

  Scenario: The audit tells who, when, before and after
    When operators run "drain server:porto-a/llm-1" as change d-1
    And operators run "top-up atelier 500" as change t-1
    And operators run "audit since:1h id:d-1" as rui
    Then operators hear exit 0 with "server/porto-a/llm-1: leaving=no -> leaving=yes"
    When operators run "audit since:1h who:ines outcome:accepted" as rui
    Then operators hear rows with change_id d-1, t-1
