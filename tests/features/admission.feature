Feature: Admission
  What is let in is bounded by caller, kind, worth, deadline and load.

  Scenario Outline: Admission property <property>
    Then every admission history keeps "<property>"

    Examples:
      | property              |
      | tickets_always_return |
      | no_refusal_for_ever   |
      | caller_rate_holds     |

  Scenario Outline: Twice the capacity under the limit <limit>
    When load of twice the capacity meets the limit "<limit>"
    Then the overload targets are <verdict>

    Examples:
      | limit     | verdict |
      | gradient  | met     |
      | none      | missed  |
      | fixed 256 | missed  |

  Scenario: Twice the capacity with kinds of one worth
    When load of twice the capacity meets the limit "gradient" blind to worth
    Then the overload targets are missed

  Scenario Outline: A request with <left> seconds left after answers of <took>
    Given a door that saw answers of <took> seconds
    When a request with <left> seconds left comes <later> seconds later
    Then the door says "<outcome>"

    Examples:
      | took | left | later | outcome            |
      | 0.2  | 0.5  | 0     | admitted           |
      | 0.2  | 0.05 | 0     | deadline-too-short |
      | 0.2  | 0.0  | 0     | deadline-too-short |
      | 0.2  | -1   | 0     | deadline-too-short |
      | 0.2  | 0.0  | 100   | deadline-too-short |
      | 0.2  | 0.05 | 20    | admitted           |

  Scenario: The lag of the event loop lowers the limit
    Given a door that saw answers of 0.1 seconds
    When the event loop lags 0.2 seconds for 60 seconds
    Then 4 requests in progress are the most

  Scenario Outline: Work under a ticket ends by <end>
    Given a service that admits one request of a kind at once
    When admitted work ends by "<end>"
    Then the next request of the kind is admitted
    And while it runs another is refused with "kind-limit", not run

    Examples:
      | end       |
      | answer    |
      | exception |
      | hang-up   |
