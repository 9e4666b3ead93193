Feature: Admission control
  An instance bounds the requests in flight by caller, kind, worth, deadline
  and load, so that an overload does not make every request miss its deadline.

  Scenario Outline: Admission property <property>
    Then every admission history satisfies "<property>"

    Examples:
      | property                    |
      | tickets_are_always_released |
      | refusals_by_deadline_expire |
      | caller_rate_is_bounded      |

  Scenario Outline: Load of twice the capacity with the limit <limit>
    When load of twice the capacity meets the limit "<limit>"
    Then the overload targets are <verdict>

    Examples:
      | limit     | verdict |
      | gradient  | met     |
      | none      | missed  |
      | fixed 256 | missed  |

  Scenario: Load of twice the capacity with kinds of equal worth
    When load of twice the capacity meets the limit "gradient", worth ignored
    Then the overload targets are missed

  Scenario Outline: A request with <left> seconds left after answers of <took>
    Given an admission controller after answers of <took> seconds
    When a request with <left> seconds left arrives <later> seconds later
    Then the admission outcome is "<outcome>"

    Examples:
      | took | left | later | outcome            |
      | 0.2  | 0.5  | 0     | admitted           |
      | 0.2  | 0.05 | 0     | deadline-too-short |
      | 0.2  | 0.0  | 0     | deadline-too-short |
      | 0.2  | -1   | 0     | deadline-too-short |
      | 0.2  | 0.0  | 100   | deadline-too-short |
      | 0.2  | 0.05 | 20    | admitted           |

  Scenario: The lag of the event loop lowers the limit
    Given an admission controller after answers of 0.1 seconds
    When the event loop lags 0.2 seconds for 60 seconds
    Then at most 4 requests are admitted at once

  Scenario Outline: Admitted work that ends by <end> releases its ticket
    Given a service that admits one request of a kind at once
    When admitted work ends by "<end>"
    Then the next request of the kind is admitted
    And a second one at the same time is refused with "kind-limit", not run

    Examples:
      | end       |
      | answer    |
      | exception |
      | hang-up   |
