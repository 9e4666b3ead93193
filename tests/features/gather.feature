Feature: Histories of a query
  Whatever the order of answers, losses, repeats, late answers, ticks and
  starts on another version: one answer, coverage as had, one snapshot, the
  budget kept, "not run" only if nothing can have run.

  Scenario: Any history of a query keeps its promises
    Then 400 histories of a query keep every promise

  Scenario: A cancelled attempt of the version given up may have run
    Then a query refused after it started over says that it may have run
