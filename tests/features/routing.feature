Feature: Routing of sub-requests
  Selection of replicas, hedge delays, the budget of extra load and the quotas
  of connections, in virtual time. Guards against work for replicas that fail,
  drain or misreport their load, and against more extra load than is allowed.

  Scenario Outline: The property <name> holds for any history
    Then the routing property "<name>" holds

    Examples:
      | name                                   |
      | extra_attempts_within_budget           |
      | sent_extra_attempts_within_budget      |
      | leaving_replicas_get_no_work           |
      | quotas_within_connection_limit         |
      | instances_are_held_after_leaving       |
      | two_silent_connections_are_needed      |
      | pick_is_a_candidate                    |

  Scenario Outline: The property <name> fails for the faulty variant <variant>
    Then the routing property "<name>" fails for the variant "<variant>"

    Examples:
      | name                           | variant               |
      | extra_attempts_within_budget   | unlimited-budget      |
      | leaving_replicas_get_no_work   | ignores-drain-signals |
      | quotas_within_connection_limit | without-overcommit    |

  Scenario Outline: A replica that is <fault> gets at most <most> percent of the work
    Given 4 replicas routed with seed 7, of which one is "<fault>"
    When 2000 sub-requests are routed at 200 a second
    Then the faulty replica was sent at most <most> and at least <least> percent

    Examples:
      | fault               | most | least |
      | slow                | 5    | 0     |
      | reporting-idle      | 10   | 0     |
      | reporting-busy      | 60   | 5     |
      | reporting-unhealthy | 60   | 5     |
      | draining            | 0    | 0     |
      | refusing            | 5    | 0     |
      | full                | 10   | 0     |
      | new                 | 30   | 1     |

  Scenario: Health reports are ignored if most replicas look dead
    Given 4 replicas routed with seed 7, of which one is "healthy"
    When 3 of them are reported unhealthy
    And 2000 sub-requests are routed at 200 a second
    Then each replica was sent at least 10 percent

  Scenario Outline: The hedge delay of a shard with latencies around <ms> ms
    When a shard answers in <ms> ms, and 1 in 50 answers takes 20 times as long
    Then its hedge delay is between <low> and <high> ms

    Examples:
      | ms  | low | high |
      | 1   | 5   | 5    |
      | 10  | 10  | 20   |
      | 100 | 100 | 200  |
      | 900 | 250 | 250  |

  Scenario: Extra attempts are possible at low request rates
    Then a budget of 5 percent allows 10 extra attempts before any first one
    And after 20 first attempts it allows one more, but not a second
