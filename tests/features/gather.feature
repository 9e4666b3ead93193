Feature: Invariants of a query
  For any order of replies, failures, duplicate and late events, timer ticks
  and restarts on another index version, a query returns exactly one answer
  from one snapshot with exact coverage, stays within the budget, and reports
  "not run" only if no upstream can have run it.

  Scenario: Random event sequences keep every invariant of a query
    Then 400 random event sequences keep every invariant of a query

  Scenario: An attempt cancelled by a restart counts as possibly run
    Then a query that fails after a restart reports that it may have run
