Feature: Membership of nodes
  Each node has its own view of the members, fed by probes and gossip. The view
  may be wrong for a while, but it recovers by itself from lost messages,
  partitions and restarts, and its memory and traffic stay bounded.

  Scenario: Reordered or duplicate updates give the same view
    Then member updates merge to the same view in any order

  Scenario: An older incarnation never overrides a newer one or a leave
    Then no member update overrides a newer incarnation or a leave

  Scenario: Gossip, heartbeats and the member table are bounded
    Then queued gossip stays within its byte limit
    And the member table stays within its limit
    And heartbeats of 60 members stay within their size while a third fails

  Scenario: Views recover from any cuts, freezes, losses, kills and restarts
    Then member views are correct within the recovery time

  Scenario Outline: The loss of one of three zones is detected at <count> nodes
    Then <count> members detect the failure of a third within 60 s

    Examples:
      | count |
      | 30    |
      | 100   |
      | 300   |

  Scenario Outline: Views recover from a network partition of <seconds> s
    Then <count> members split for <seconds> s recover within the recovery time

    Examples:
      | count | seconds |
      | 10    | 60      |
      | 10    | 3600    |

  Scenario Outline: Views recover from a fault of one member: <fault> at <step>
    Given 8 members with complete views
    When a member has the fault "<fault>" at the step "<step>"
    Then every member view is correct within the recovery time

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

  Scenario: Views recover from an outdated list of the platform
    Given 8 members with complete views
    When the platform lists a killed member and omits a running one
    Then every member view is correct within the recovery time

  Scenario Outline: The checks detect a known-bad variant: <variant>
    Then the member check "<check>" fails for "<variant>"

    Examples:
      | check       | variant       |
      | incarnation | no order      |
      | split       | no recheck    |
      | heals       | no refutation |

  Scenario: A publication reaches every member of a view once
    Then relay ranges cover every member once

  Scenario Outline: A configuration position reaches all of <count> nodes in time
    Then a position reaches <count> members within 20 s

    Examples:
      | count |
      | 8     |
      | 300   |
      | 3100  |
