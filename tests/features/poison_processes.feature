Feature: Poison requests against processes
  Nodes and upstreams are processes; a crash ends an upstream for good.

  Scenario: Repeats of a poison request at three nodes in turn
    Given three nodes before six upstream processes
    When a search that ends its upstream comes to each node in turn, three times
    Then at most two upstream processes ended
    And each node refuses the search as quarantined, not run
    And another search is answered from the shards that are left
