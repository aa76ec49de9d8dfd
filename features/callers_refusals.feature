Feature: The page of refusals
  The documentation promises clients that refusal codes are stable and listed; a client can't
  interpret a code that is not listed.

  Scenario: The page of refusals lists every code that can be sent
    When the codes of all refusals are collected from the source code
    Then the refusals page lists exactly these codes
