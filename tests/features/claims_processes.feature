Feature: State that lasts, with real processes
  Two nodes, two shards of two replicas, a KV that can fail; all on loopback.

  Scenario: Kills, freezes and outages of the KV lose and double nothing
    Given a small cluster with a front that takes actions
    Then an accepted revision is in force everywhere within 20 s of a SIGKILL of its node
    And 20 actions cost 2 KV writes each and no read
    And a repeat at the other node brings the recorded answer
    And while the KV is down an action is refused as not run, and runs later once
    And while the KV loses its replies an action is refused and nothing runs
    And a node frozen at its claim runs nothing that a repeat has run
    And a node that starts while the KV is down serves what its peer has
