Feature: Routing of sub-requests
  The choice of replicas, the hedge delay and the budget, in virtual time.

  Scenario Outline: The property <name> holds for any history
    Then the routing property "<name>" holds

    Examples:
      | name                    |
      | budget_holds            |
      | budget_holds_for_sent   |
      | leaving_gets_no_work    |
      | parts_fit               |
      | gone_instances_count_on |
      | silence_needs_two       |
      | picks_a_candidate       |

  Scenario Outline: A known-bad <variant> is caught by <name>
    Then the routing property "<name>" fails for the variant "<variant>"

    Examples:
      | name                 | variant               |
      | budget_holds         | earns-by-time         |
      | leaving_gets_no_work | heeds-the-list-only   |
      | parts_fit            | no-room-for-a-rollout |

  Scenario Outline: A <fault> replica gets at most <most> of the work
    Given 4 replicas routed with seed 7, of which one is "<fault>"
    When 2000 sub-requests are routed at 200 a second
    Then the faulty replica was sent at most <most> and at least <least> percent

    Examples:
      | fault          | most | least |
      | straggling     | 5    | 0     |
      | claiming-idle  | 10   | 0     |
      | claiming-busy  | 60   | 5     |
      | claiming-sick  | 60   | 5     |
      | draining       | 0    | 0     |
      | refusing       | 5    | 0     |
      | full           | 10   | 0     |
      | cold           | 30   | 1     |

  Scenario: A view in which most replicas look dead is doubted
    Given 4 replicas routed with seed 7, of which one is "well"
    When health says of 3 of them that they are dead
    And 2000 sub-requests are routed at 200 a second
    Then each replica was sent at least 10 percent

  Scenario Outline: The hedge delay of a shard with latencies around <ms> ms
    When a shard answers in <ms> ms, 1 in 50 twenty times slower
    Then its hedge delay is between <low> and <high> ms

    Examples:
      | ms  | low | high |
      | 1   | 5   | 5    |
      | 10  | 10  | 20   |
      | 100 | 100 | 200  |
      | 900 | 250 | 250  |

  Scenario: Extra attempts stay possible at low rates
    Then a budget of 5 percent allows 10 extra attempts before any first one
    And after 20 first attempts one more, and no second
