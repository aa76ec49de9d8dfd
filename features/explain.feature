Feature: From a request's id to its cause
  A support engineer has an id and log files, and follows docs/OPERATIONS.md.

  Scenario Outline: Three kinds of failed request
    Given a <kind> route with 1 attempts, whose servers <script>
    And its log goes to a file
    When a request is forwarded
    And the request is explained
    Then the story says <summary>
    And it names <event> after <earlier>

    Examples:
      | kind     | script  | summary                                                    | event           | earlier                |
      | unsafe   | lost    | sent 1 times, spent 1000 tokens; the caller got a refusal: | forward_refused | forward_sending_failed |
      | streamed | breaks  | the caller got an answer cut midway:                       | forward_broken  | forward_sending_failed |
      | safe     | answers | the caller got a whole answer: 200                         | forward_settled | forward_placed         |

  Scenario: Refused for want of budget while the store is away
    Given a safe route with 1 attempts, whose servers answers
    And its log goes to a file
    And the router's share is used up and the store is away
    When a request is forwarded
    And the request is explained
    Then the story says the caller got a refusal: budget_unreachable
    And it names forward_refused after grant_short
    And the line of grant_short says keeper_said=AWAY

  Scenario: Files that tell nothing
    Given a log file with a line that is no line
    Then explaining an unknown id says no line in these files names it, and counts the bad line
    And explaining with a file that is not there says which
