Feature: Selection of the index version
  Queries use the version that can be served for the most shards, by what the
  replicas last reported. A wrong selection leaves shards without an answer.

  Scenario Outline: Of maps <maps>, with reports <reports> <age> s old: <version>
    When replicas reported "<reports>" for maps "<maps>" <age> s ago
    Then the selected version is "<version>" and the alternative "<other>"

    Examples:
      | maps                | reports                                   | age | version | other |
      | 1=s0,s1 2=s0,s1     | none                                      | 0   | 2       | 1     |
      | 1=s0,s1 2=s0,s1     | s0-a=1,2 s0-b=1,2 s1-a=1,2 s1-b=1,2       | 0   | 2       | 1     |
      | 1=s0,s1 2=s0,s1     | s0-a=1,2 s0-b=1 s1-a=1 s1-b=1             | 0   | 1       | 2     |
      | 1=s0,s1 2=s0,s1     | s0-a=1 s0-b=2 s1-a=2 s1-b=1               | 0   | 2       | 1     |
      | 1=s0,s1 2=s0,s1x,s2 | s0-a=1,2 s0-b=1,2 s1-a=1 s1-b=1           | 0   | 1       | 2     |
      | 1=s0,s1 2=s0,s1     | s0-a=1 s0-b=1 s1-a=1 s1-b=1               | 31  | 2       | 1     |
      | 1=s0                | s0-a=3 s0-b=3                             | 0   | None    | None  |
      | 1=s0 2=s0           | s0-a=1 s0-b=1                             | 0   | 1       | None  |

  Scenario Outline: Health polls that report <versions> select version <version>
    Given a front with maps "1=s0 2=s0" whose replicas report "<versions>"
    When the poller has run 2 rounds
    Then the selected version of the front is "<version>"

    Examples:
      | versions | version |
      | 1        | 1       |
      | 1,2      | 2       |
      | none     | 2       |

  Scenario: Replicas that are in no front any more are removed
    Given a front with maps "1=s0 2=s0" whose replicas report "1"
    And a recorded version of a replica that is in no front
    When the poller has run 2 rounds
    Then versions are recorded only for the replicas of the front
