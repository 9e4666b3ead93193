Feature: Poison requests against processes
  A request that crashes every upstream that runs it must not take down the
  fleet when its caller repeats it at other instances. Instances and upstreams
  are processes, and a crashed upstream is not restarted.

  Scenario: Repeats of a poison request at three instances in turn
    Given three instances and six upstream processes
    When a search that crashes its upstream is sent to each instance in turn, three times
    Then at most two upstream processes crashed
    And each instance refuses the search as "quarantined", with ran "no"
    And another search is answered from the remaining shards
