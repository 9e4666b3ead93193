Feature: searches through real processes while they fail

  Two nodes, two shards with two replicas each, one of them behind a relay, and
  ten searches a second throughout. Each answer is compared, record by record,
  with the records of its snapshot.

  Scenario: failures of replicas, links, callers and the platform
    Given a small cluster under a steady load of searches
    Then searches stay whole while KV and instance list are down for 2 s
    And a caller that hangs up leaves no search held upstream after 1 s
    And a replica that drains gets no new search after 3 s
    And searches stay whole while a replica is frozen for 2 s and goes on
    And silent connections slow searches for at most 5 s
    And searches stay whole after a SIGKILL of a replica

  Scenario: the index version changes and a shard is split
    Given a small cluster under a steady load of searches
    Then searches stay whole while replicas move to version 2 one by one
