Feature: The metrics tell what was sent again, and at whose cost

  Scenario Outline: The metrics count each <role> that reaches a replica
    Given a fleet with 1 gateways with routes of 10 seconds
    And every replica of single is "<mode>"
    When g0 gets 30 reads, 15 at once
    Then the counters of repeats to single are as many as the replicas saw
    And there are <role> repeats among them that are "<charge>"
    And the tokens left are told, and what the budget refused

    Examples:
      | mode   | role  | charge  |
      | crash  | retry | charged |
      | silent | hedge | charged |
