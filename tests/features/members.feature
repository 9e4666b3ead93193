Feature: Membership of nodes
  The view is a hint, but it heals by itself and stays bounded.

  Scenario: Updates give the same view in any order, doubled or late
    Then member updates merge alike in any order

  Scenario: An older incarnation never overrides a newer and leaving is final
    Then no member update undoes a newer incarnation or a leave

  Scenario: Hearsay, heartbeats and the table are bounded
    Then member hearsay keeps to its bytes
    And the member table keeps to its limit
    And heartbeats of 60 members keep to their bytes while a third is lost

  Scenario: After any cuts, freezes, losses, kills and restarts views heal
    Then member views heal within the bound

  Scenario Outline: A zone of three is lost at <count> nodes
    Then <count> members of which a third is lost see it within 60 s

    Examples:
      | count |
      | 30    |
      | 100   |
      | 300   |

  Scenario Outline: Regions that were split for <seconds> s find each other
    Then <count> members split for <seconds> s heal within the bound

    Examples:
      | count | seconds |
      | 10    | 60      |
      | 10    | 3600    |

  Scenario Outline: A fault at each step: <fault> at <step>
    Given 8 members that know each other
    When a member meets "<fault>" at "<step>"
    Then every member view is right within the bound

    Examples:
      | fault   | step      |
      | kill    | start     |
      | kill    | join      |
      | kill    | heartbeat |
      | kill    | pull      |
      | kill    | drain     |
      | cut     | start     |
      | cut     | join      |
      | cut     | heartbeat |
      | cut     | pull      |
      | cut     | drain     |
      | freeze  | start     |
      | freeze  | join      |
      | freeze  | heartbeat |
      | freeze  | pull      |
      | freeze  | drain     |
      | restart | start     |
      | restart | join      |
      | restart | heartbeat |
      | restart | pull      |
      | restart | drain     |

  Scenario: The platform's list lags
    Given 8 members that know each other
    When the platform lists a member that is gone and omits one that runs
    Then every member view is right within the bound

  Scenario Outline: The checks catch a known-bad variant: <variant>
    Then the member check "<check>" fails for "<variant>"

    Examples:
      | check       | variant       |
      | incarnation | no order      |
      | split       | no recheck    |
      | heals       | no refutation |

  Scenario: A publication reaches every member once per view
    Then relay ranges cover every member

  Scenario Outline: A position is everywhere at <count> nodes within 20 s
    Then a position spreads over <count> members within 20 s

    Examples:
      | count |
      | 8     |
      | 300   |
      | 3100  |
