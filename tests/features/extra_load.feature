Feature: Load beyond first attempts
  Replacements earn nothing, and are bounded when upstreams crash or shed.

  Scenario Outline: <promise>
    Then the load beyond first attempts keeps "<promise>"

    Examples:
      | promise                    |
      | extra_load_is_bounded      |
      | sheds_are_not_a_storm      |
      | refused_hedge_pauses       |
      | dead_replicas_cost_nothing |
