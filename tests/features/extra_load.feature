Feature: Load of additional attempts
  Attempts after the first one of a shard must not multiply the load on
  upstreams that crash or refuse requests. Replacements are not charged to the
  budget, so they earn nothing and are bounded separately.

  Scenario Outline: The property <property> holds
    Then the load of additional attempts satisfies "<property>"

    Examples:
      | property                          |
      | additional_load_is_bounded        |
      | shed_attempt_is_replaced_once     |
      | refused_hedge_backs_off           |
      | unreached_replicas_cost_no_budget |
