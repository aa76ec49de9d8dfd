Feature: Budgets under sequences of requests, losses, pauses and restarts
  In every sequence, the usage never exceeds the tokens paid in, and the store never
  shows more spent tokens than were used.

  Scenario: A search finds no sequence that overspends or bills twice
    When budget sequences are searched with 12 examples of up to 30 steps
    Then no budget sequence overspends
    And no budget sequence bills twice

  Scenario: The reply to a write that folds the grant of an idle account is lost
    The account was billed twice for one request. The write that folds its grant into the
    spent tokens times out and arrives late. Then the holder receives a direct transfer: it
    recorded that first, mistook the resulting grant for its old one, and added it again.
    When this budget sequence is run
      | action      | first | second | third |
      | kill        | 7     | 4      | 3     |
      | sleep       | 6     | 0      | 0     |
      | request     | 2     | 22     | 5     |
      | sleep       | 12    | 0      | 0     |
      | part_store  | 2     | 1      | 0     |
      | sleep       | 29    | 0      | 0     |
      | sleep       | 16    | 0      | 0     |
      | sleep       | 28    | 0      | 0     |
      | request     | 1     | 24     | 13    |
      | sleep       | 29    | 0      | 0     |
      | late_writes | 5     | 5      | 5     |
      | sleep       | 29    | 0      | 0     |
      | request     | 0     | 15     | 7     |
    Then no budget sequence overspends
    And no budget sequence bills twice

  Scenario: A sidecar is restarted during a run, and then its holder is paused
    The usage exceeded the stranded tokens: 2,300 used tokens were freed. The sidecar lost its
    run in the restart. The holder resumed and reported the reservation; no sidecar knew it,
    which was taken for "never ran", although one sidecar was a new incarnation by then.
    When this budget sequence is run
      | action          | first | second | third |
      | request         | 2     | 6      | 9     |
      | request         | 3     | 12     | 3     |
      | request         | 1     | 22     | 9     |
      | request         | 0     | 10     | 3     |
      | request         | 2     | 4      | 13    |
      | sleep           | 27    | 0      | 0     |
      | request         | 1     | 23     | 12    |
      | restart_sidecar | 4     | 0      | 6     |
      | sleep           | 5     | 0      | 0     |
      | pause           | 1     | 1      | 4     |
      | sleep           | 26    | 0      | 0     |
    Then no budget sequence overspends
    And no budget sequence bills twice

  Scenario: A holder folds its grant, spends transferred tokens and is taken over
    400 tokens were billed twice. The spent tokens of the grant were folded. Then the holder
    received a direct transfer and was taken over before that was recorded in the store. Its
    successor counted all runs under the epoch, including those already folded.
    When this budget sequence is run
      | action      | first | second | third |
      | request     | 1     | 19     | 9     |
      | restart     | 6     | 2      | 6     |
      | request     | 1     | 5      | 9     |
      | request     | 2     | 14     | 2     |
      | sleep       | 28    | 0      | 0     |
      | request     | 1     | 9      | 5     |
      | sleep       | 15    | 0      | 0     |
      | kill        | 5     | 4      | 6     |
      | request     | 0     | 2      | 3     |
      | request     | 3     | 20     | 9     |
      | request     | 0     | 15     | 13    |
      | sleep       | 11    | 0      | 0     |
      | request     | 0     | 21     | 14    |
      | sleep       | 18    | 0      | 0     |
      | request     | 2     | 10     | 0     |
      | sleep       | 21    | 0      | 0     |
      | request     | 0     | 7      | 5     |
      | late_writes | 2     | 4      | 6     |
      | sleep       | 13    | 0      | 0     |
      | sleep       | 11    | 0      | 0     |
      | sleep       | 16    | 0      | 0     |
      | late_writes | 0     | 6      | 3     |
      | request     | 0     | 13     | 5     |
      | sleep       | 4     | 0      | 0     |
    Then no budget sequence overspends
    And no budget sequence bills twice
