Feature: The fake engine that routing is measured against
  It has to have the properties that make routing hard.

  Scenario: A full batch slows everyone's tokens
    When the batching engine answers 1 request of 100 tokens, and then 24 at once
    Then the batching engine took longer for each of the 24

  Scenario: A cached prompt is read faster, until it is evicted
    When the batching engine reads a prompt, again, and again after many others
    Then the batching engine took long, then short, then long for the first token

  Scenario: Urgent requests go first when the batch is full
    When the batching engine is full and gets a plain and an urgent request
    Then the batching engine began the urgent one first

  Scenario: A cancelled request frees its place
    When the batching engine has a request cancelled in each of its stages
    Then the batching engine has nothing left to do

  Scenario: Load reports tell of the cache's changes once
    When the batching engine reports its load twice after a prompt
    Then the batching engine told of the prompt in the first report alone
