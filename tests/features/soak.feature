Feature: A fault soak of gateways as processes
  Random series of faults from outside; the promises are checked while they
  run, from what callers and replicas see.

  # 1: a fault under way started a gateway after the run had ended.
  # 102: the stand-in kept an older configuration under the same version, and
  # gateways that started then could know no other.
  Scenario Outline: Seed <seed> keeps every promise
    Then a soak of 2 gateways for 8 seconds with seed <seed> breaks nothing

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 102  |

  Scenario Outline: The planted fault <planted> is found
    Then a soak with <planted> planted and <fault> breaks a promise

    Examples:
      | planted             | fault         |
      | takes-any-answer    | double_answers |
      | adopts-backwards    | show_older    |
      | keeps-draining      | drain_replica |
      | stops-at-once       | stop_gateway  |
      | repeats-everything  | break_shard   |
      | says-not-run        | break_shard   |
      | overstates-coverage | break_shard   |
      | trusts-addresses    | steal_address |
