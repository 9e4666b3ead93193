Feature: Choice of the index version
  The version that most shards can serve, by what replicas last said.

  Scenario Outline: Of maps <maps>, with <news> heard <age> s ago: <version>
    When the replicas said "<news>" and <age> s pass over maps "<maps>"
    Then the version chosen is "<version>" and the other is "<other>"

    Examples:
      | maps                | news                                      | age | version | other |
      | 1=s0,s1 2=s0,s1     | none                                      | 0   | 2       | 1     |
      | 1=s0,s1 2=s0,s1     | s0-a=1,2 s0-b=1,2 s1-a=1,2 s1-b=1,2       | 0   | 2       | 1     |
      | 1=s0,s1 2=s0,s1     | s0-a=1,2 s0-b=1 s1-a=1 s1-b=1             | 0   | 1       | 2     |
      | 1=s0,s1 2=s0,s1     | s0-a=1 s0-b=2 s1-a=2 s1-b=1               | 0   | 2       | 1     |
      | 1=s0,s1 2=s0,s1x,s2 | s0-a=1,2 s0-b=1,2 s1-a=1 s1-b=1           | 0   | 1       | 2     |
      | 1=s0,s1 2=s0,s1     | s0-a=1 s0-b=1 s1-a=1 s1-b=1               | 31  | 2       | 1     |
      | 1=s0                | s0-a=3 s0-b=3                             | 0   | None    | None  |
      | 1=s0 2=s0           | s0-a=1 s0-b=1                             | 0   | 1       | None  |

  Scenario Outline: Health polls that say "<held>" let the view choose <version>
    Given a front with maps "1=s0 2=s0" whose replicas say "<held>" when polled
    When the poller has run 2 rounds
    Then the view of versions chooses "<version>"

    Examples:
      | held  | version |
      | 1     | 1       |
      | 1,2   | 2       |
      | none  | 2       |

  Scenario: Replicas that left every front are forgotten
    Given a front with maps "1=s0 2=s0" whose replicas say "1" when polled
    And the view heard of a replica of no front
    When the poller has run 2 rounds
    Then the view knows only the replicas of the front
