Feature: Time until the instances of a fleet know each other
  The number of members decides which instances read the store and how the
  retry budget is shared. Instances that start together see only a few others
  in their first listing.

  Scenario: Instances that start at the same time know each other soon
    Given 8 instances that register within 0.3 seconds
    When 2.5 seconds have passed
    Then each of them knows 8 instances
    And at most 2 of them read the store

  Scenario: A stable fleet lists its members only as often as it renews leases
    Given 8 instances that register within 0.3 seconds
    When 60 seconds have passed
    Then each of them has listed the members at most 14 times
