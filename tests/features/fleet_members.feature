Feature: How soon the instances of a fleet know each other
  Readers of the store and each instance's part of the budget follow from
  their count.

  Scenario: Instances that start in the same moment know each other soon
    Given 8 instances that enter the store within 0.3 seconds
    When 2.5 seconds have passed
    Then each of them knows 8 instances
    And at most 2 of them read the store

  Scenario: A fleet at rest asks the store no more often than it renews
    Given 8 instances that enter the store within 0.3 seconds
    When 60 seconds have passed
    Then each of them has listed the others at most 14 times
