Feature: Configuration revisions never decrease
  The configuration logic runs on a model of the KV with outages, lost
  replies, delayed writes and stale replicas, in any interleaving of
  operators, nodes, restarts and peers.

  Scenario: Accepted writes persist, one write wins, revisions never decrease
    Then the configuration machine finds no fault in 100 histories

  Scenario Outline: The configuration machine detects that <variant>
    Then the configuration machine finds the fault "<fault>" if "<variant>"

    Examples:
      | variant                        | fault                                |
      | a lost reply means not written | written, but reported as not written |
      | a lost reply means written     | accepted, but not written            |
      | a conflict is not read back    | written, but reported as not written |
      | revisions are not compared     | gap below position                   |
      | the position skips a gap       | gap below position                   |

  Scenario Outline: A write whose <call> has the fate <fate> ends as <outcome>
    Given a front key at revision 3 after three writes
    When the <call> of a write at revision 3 has the fate "<fate>"
    Then the configuration write ends as "<outcome>" after <count> effects

    Examples:
      | call | fate                        | outcome     | count |
      | read | ok                          | accepted    | 1     |
      | read | lost-before                 | accepted    | 1     |
      | read | outage                      | unavailable | 0     |
      | swap | refused                     | accepted    | 1     |
      | swap | lost-before                 | accepted    | 1     |
      | swap | lost-after                  | accepted    | 1     |
      | swap | delayed                     | accepted    | 1     |
      | swap | outage                      | unavailable | 0     |
      | swap | raced                       | conflict    | 0     |
      | swap | replaced                    | accepted    | 1     |
      | swap | lost, then outage           | unknown     | 1     |
      | swap | replaced beyond the lineage | unknown     | 1     |

  Scenario Outline: A node rejects the answer of a KV that <event>
    Given a node that adopted revision 5 of a front
    When its KV <event>
    Then revision 5 stays active and the answer is rejected

    Examples:
      | event                               |
      | lists at an older revision          |
      | watches at an older revision        |
      | was restored to an older, other one |

  Scenario Outline: A change with <value> at revision <revision> is <adoption>
    Given a node that adopted revision 5 of a front
    When the node receives a change with "<value>" at revision <revision>
    Then the change is "<adoption>" and revision <active> is active

    Examples:
      | value           | revision | adoption | active |
      | a valid spec    | 6        | adopted  | 6      |
      | a valid spec    | 5        | old      | 5      |
      | a valid spec    | 4        | old      | 5      |
      | an invalid spec | 6        | invalid  | 5      |
      | not JSON        | 6        | invalid  | 5      |
      | a tombstone     | 6        | removed  | 0      |
      | a tombstone     | 4        | old      | 5      |
      | no key          | 6        | removed  | 0      |

  Scenario: A node without a KV is synced by a synced peer only
    Given a node that adopted revision 5 of a front
    Then a new node that pulls from it in pieces is synced at position 5
    And a new node that pulls from a node that is not synced is not synced

  Scenario: Every fault of a spec is listed by its path
    Then the faults of a spec with seven faults have these paths
      | path                                    |
      | shard_maps[0].version                   |
      | shard_maps[0].shards[0].replicas[0].address |
      | shard_maps[0].shards[1].name            |
      | callers[0].token_sha256                 |
      | kinds[0].name                           |
      | kinds[0].deadline_ms                    |
      | surplus                                 |

  Scenario Outline: With <members> nodes the polls stay under a tenth of the KV's reads
    Then <members> nodes hold at most 5 watches
    And their polls stay under 260 reads a second and 18 seconds

    Examples:
      | members |
      | 1       |
      | 3       |
      | 100     |
      | 3100    |

  Scenario: A history reports that requested changes were discarded
    Then a history of 3 events that recorded 5 starts after the second
