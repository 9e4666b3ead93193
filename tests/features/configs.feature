Feature: Configuration that never reverts
  Decisions over a model KV with outages, lost and late effects and stale
  replicas; any interleaving of operators, nodes, restarts and peers.

  Scenario: Accepted writes hold, one write wins, nodes never go back
    Then the configuration machine finds no fault in 100 histories

  Scenario Outline: The configuration machine finds a fault in "<variant>"
    Then the configuration machine finds the fault "<fault>" in "<variant>"

    Examples:
      | variant                 | fault               |
      | no read-back            | written, but denied |
      | lost means written      | not accepted        |
      | conflict without a look | written, but denied |
      | adopt without comparing | gap                 |
      | position over a gap     | gap                 |

  Scenario Outline: A write whose <step> meets <fate> ends as <outcome>
    Given a front key at revision 3 after three writes
    When an operator's write at revision 3 has its <step> meet "<fate>"
    Then the configuration write ends as "<outcome>" and <count> of it landed

    Examples:
      | step        | fate        | outcome     | count |
      | read        | ok          | accepted    | 1     |
      | read        | lost-before | accepted    | 1     |
      | read        | outage      | unavailable | 0     |
      | swap        | refused     | accepted    | 1     |
      | swap        | lost-before | accepted    | 1     |
      | swap        | lost-after  | accepted    | 1     |
      | swap        | delayed     | accepted    | 1     |
      | swap        | outage      | unavailable | 0     |
      | swap        | raced       | conflict    | 0     |
      | swap        | replaced    | accepted    | 1     |
      | swap        | lost, then outage | unknown | 1   |
      | swap        | replaced beyond the lineage | unknown | 1 |

  Scenario Outline: A KV that <event> takes nothing from a node
    Given a node that adopted revision 5 of a front
    When its KV <event>
    Then revision 5 stays in force and the answer is refused

    Examples:
      | event                               |
      | lists at an older revision          |
      | watches at an older revision        |
      | was restored to an older, other one |

  Scenario Outline: A change with <what> is <adoption>
    Given a node that adopted revision 5 of a front
    When the change "<what>" at revision <revision> reaches it
    Then the change is "<adoption>" and revision <stays> is in force

    Examples:
      | what         | revision | adoption | stays |
      | a good spec  | 6        | adopted  | 6     |
      | a good spec  | 5        | old      | 5     |
      | a good spec  | 4        | old      | 5     |
      | a bad spec   | 6        | invalid  | 5     |
      | not JSON     | 6        | invalid  | 5     |
      | a tombstone  | 6        | removed  | 0     |
      | a tombstone  | 4        | old      | 5     |
      | no key       | 6        | removed  | 0     |

  Scenario: A node without a KV has what a synced peer gives, and nothing else
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

  Scenario Outline: With <members> nodes the checks stay under a tenth of the KV's reads
    Then <members> nodes hold at most 5 watches
    And their checks stay under 260 reads a second and 18 seconds

    Examples:
      | members |
      | 1       |
      | 3       |
      | 100     |
      | 3100    |

  Scenario: The stream of changes says when it has forgotten
    Then a history of 3 events that had 5 starts after the second
