Feature: Logs that never hold up a request
  A process writes its lines to a pipe whose reader may stall or be slow.

  Scenario: A reader that stalls
    The pipe is full and nobody reads.  A line that waited for room would hold up every
    request of the process; lines beyond the bound are left out and counted.
    When 20000 lines are written to a pipe that nobody reads
    Then writing took less than 5 seconds and held less than 1 MB
    And when the pipe is read, a line tells how many were left out

  Scenario: One event too often
    A burst logs one event for each request.  Failures are told all the same.
    When 1000 lines of one event and 10 warnings are written within a second
    Then at most 410 lines are on the pipe, with all 10 warnings

  Scenario: A flood of ordinary refusals
    Failure: the line that explains why a request was told as not run after it was sent fell under
    the bound of the lines on all other refusals.
    When 1000 refusals are logged, and 10 after a sending, within a second
    Then the lines of all 10 are on the pipe
