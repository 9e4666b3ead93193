Feature: Repeats that reach a service in any window
  The budget is spent when a repeat is sent. Replicas that are stopped for
  seconds get many of them at once.

  Scenario Outline: The property <property> holds
    Then the repeats in any window satisfy "<property>"

    Examples:
      | property                                           |
      | repeats_that_arrive_late_stay_bounded              |
      | repeats_stay_bounded_over_restarts_in_series       |
      | tokens_are_settled_when_the_last_attempt_has_ended |
      | token_of_an_attempt_never_sent_is_settled          |
      | counts_of_requests_end_with_their_window           |
