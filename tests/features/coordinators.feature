Feature: Fan-outs are coordinated by the instances that are fast enough
  A fleet of many slow and few fast instances, in front of fan-outs over many
  shards: who reads the answers, who refuses, and who may repeat how much.

  Scenario Outline: <load> times the fan-outs of a grown fleet are read in time
    Given 57 slow and 6 fast instances in 3 zones
    When 22 fan-outs a second over 135 shards come <load> times as often
    Then <share> of them are read within 60 ms, and none kept at home is

    Examples:
      | load | share |
      | 1    | 0.99  |
      | 2.6  | 0.95  |

  Scenario: A load beyond the fast instances is read by those it came to
    Given 57 slow and 6 fast instances in 3 zones
    When 22 fan-outs a second over 135 shards come 30 times as often
    Then some are refused, and none waits over 85 ms at a fast instance

  Scenario: The fan-outs of a zone are spread over its fast instances
    Given 57 slow and 6 fast instances in 3 zones
    When 22 fan-outs a second over 135 shards come 1 times as often
    Then no fast instance reads over twice as many as another

  Scenario: Instances that are alike keep their fan-outs
    Given 0 slow and 8 fast instances in 3 zones
    Then no instance gives a fan-out of 135 shards away

  Scenario: Instances that do not say how fast they are keep their fan-outs
    Given 8 instances that do not say how fast they are
    Then no instance gives a fan-out of 135 shards away

  Scenario: A small fan-out is not worth the way
    Given 57 slow and 6 fast instances in 3 zones
    Then no instance gives a fan-out of 4 shards away

  Scenario: An instance that was silent is passed over for a while
    Given 57 slow and 6 fast instances in 3 zones
    When the first choice of a slow instance is silent
    Then another in its zone is chosen, and the first again after 5 seconds
    And when all of them are silent the fan-out stays

  Scenario Outline: The property <name> holds for any fleet
    Then the coordinator property "<name>" holds

    Examples:
      | name                                |
      | weights_add_up                      |
      | repeats_of_a_mixed_fleet_stay_bound |

  Scenario: A known-bad weight is caught
    Then the coordinator property "weights_add_up" fails where nobody leaves any

  Scenario: An instance with a small part may repeat once in a quiet window
    Given an instance with 1.05 repeats a window that has just started
    Then it may repeat nothing for 10 seconds, then once, then not for 10 more

  Scenario: A fan-out that another instance may have begun is a repeat
    Given a fan-out to 10 shards, 8 of which are enough, begun elsewhere before
    And 9 of its shards have a repeat left
    When each attempt is answered
    Then it is answered with 9 of 10 shards
    And each replica was asked once, for a repeat each

  Scenario: Shards are asked at one replica until more are allowed
    Given a fan-out to 3 shards with 3 replicas each, of which 1 may be asked
    When nothing is answered when hedges are due
    Then no second replica is asked
    When 2 may be asked and hedges are due again
    Then each shard has been asked at 2 replicas

  Scenario: A fan-out begun elsewhere is never said not to have run
    Given a fan-out to 10 shards, 8 of which are enough, begun elsewhere before
    And 0 of its shards have a repeat left
    Then it fails at once as one that may have run
