Feature: Fault matrix of a search
  A fault of a replica must not make a search late, incomplete without saying
  so, or run more often than the retry budget allows. Each fault occurs at
  each step of a sub-request, in virtual time, through the real service,
  driver and gather. Four shards have two replicas each; the replicas of one
  shard are faulty, and the first of them is queried first. The deadline is
  0.5 s, and a hedge is due after 0.05 s.

  Every scenario also checks that the search ends by the deadline, that the
  stated coverage matches the records and the shard map of the snapshot, that
  each shard is counted once, that sub-requests beyond one per shard stay
  within the budget, apart from one replacement per shard for a broken
  connection, that a refusal says "no" for ran only if nothing ran, and that
  no work is left upstream.

  Scenario Outline: A fault (<fault>) at step <step>: <guarantee>
    Given one shard of four whose replicas behave as "<first>" and "<second>"
    When a repeatable search is served
    Then the search covers <answered> shards, missing "<missing>"
    And the search takes at most <seconds> s
    And the faulty shard was queried <queries> times

    Examples: one faulty replica
      | fault              | step    | first                      | second  | guarantee       | answered | missing | seconds | queries |
      | none               | none    | healthy                    | healthy | no extra query  | 4        | none    | 0.01    | 1       |
      | straggler          | wait    | slow 0.3                   | healthy | bounded time    | 4        | none    | 0.06    | 2       |
      | straggler          | cancel  | answers-after-cancel       | healthy | matching answer | 4        | none    | 0.06    | 2       |
      | crash              | send    | fail broken 0.001          | healthy | full coverage   | 4        | none    | 0.01    | 2       |
      | crash              | wait    | fail broken 0.02           | healthy | full coverage   | 4        | none    | 0.03    | 2       |
      | crash              | read    | runs-then-breaks           | healthy | full coverage   | 4        | none    | 0.02    | 2       |
      | crash              | merge   | fail broken 0.04           | healthy | full coverage   | 4        | none    | 0.05    | 2       |
      | crash              | hedge   | fail broken 0.052          | healthy | full coverage   | 4        | none    | 0.06    | 2       |
      | freeze             | connect | fail connect-timeout 0.03  | healthy | full coverage   | 4        | none    | 0.04    | 2       |
      | freeze             | wait    | slow 9                     | healthy | bounded time    | 4        | none    | 0.06    | 2       |
      | refused connection | connect | fail connect-refused 0.001 | healthy | full coverage   | 4        | none    | 0.01    | 2       |
      | no connection      | connect | fail no-connection 0.001   | healthy | full coverage   | 4        | none    | 0.01    | 2       |
      | silent connection  | wait    | fail silent 0.03           | healthy | full coverage   | 4        | none    | 0.04    | 2       |
      | answer lost        | read    | runs-then-silent           | healthy | bounded time    | 4        | none    | 0.06    | 2       |
      | late answer        | hedge   | slow 0.051                 | healthy | no duplicate    | 4        | none    | 0.06    | 2       |
      | crossed shard      | read    | crossed shard              | healthy | matching answer | 4        | none    | 0.02    | 2       |
      | crossed version    | read    | crossed version            | healthy | one snapshot    | 4        | none    | 0.02    | 2       |
      | truncated          | read    | fail garbled 0.006         | healthy | matching answer | 4        | none    | 0.02    | 2       |
      | adapter fault      | read    | raise                      | healthy | bounded time    | 4        | none    | 0.02    | 2       |
      | false health       | connect | fail connect-refused 0.001 | healthy | full coverage   | 4        | none    | 0.01    | 2       |
      | false load         | wait    | slow 0.2                   | healthy | bounded time    | 4        | none    | 0.06    | 2       |
      | drain              | send    | fail draining 0.001        | healthy | full coverage   | 4        | none    | 0.01    | 2       |
      | cold start         | wait    | slow 0.04                  | healthy | no extra query  | 4        | none    | 0.05    | 1       |
      | shed               | send    | fail shed 0.001            | healthy | full coverage   | 4        | none    | 0.01    | 2       |
      | version change     | send    | fail wrong-version 0.001   | healthy | one snapshot    | 4        | none    | 0.01    | 2       |

    Examples: both replicas faulty
      | fault             | step    | first                      | second                     | guarantee        | answered | missing         | seconds | queries |
      | shed once by both | send    | fail shed 0.001 1          | fail shed 0.001 1          | full coverage    | 4        | none            | 0.04    | 3       |
      | shed by both      | send    | fail shed 0.001            | fail shed 0.001            | correct coverage | 3        | shed            | 0.06    | 4       |
      | shed and dead     | send    | fail shed 0.001 1          | fail connect-refused 0.001 | full coverage    | 4        | none            | 0.04    | 3       |
      | no connection     | connect | fail no-connection 0.001 1 | fail no-connection 0.001 1 | full coverage    | 4        | none            | 0.04    | 3       |
      | all replicas lost | connect | fail connect-refused 0.001 | fail connect-refused 0.001 | correct coverage | 3        | connect-refused | 0.01    | 2       |
      | all replicas lost | wait    | fail broken 0.02           | fail broken 0.02           | correct coverage | 3        | broken          | 0.05    | 2       |
      | freeze            | hedge   | slow 9                     | slow 9                     | bounded time     | 3        | deadline        | 0.501   | 2       |
      | crash             | hedge   | slow 0.2                   | fail broken 0.02           | full coverage    | 4        | none            | 0.21    | 2       |
      | shed              | hedge   | slow 0.2                   | fail shed 0.001            | full coverage    | 4        | none            | 0.21    | 3       |
      | crash             | cancel  | answers-after-cancel       | runs-then-breaks           | correct coverage | 3        | deadline        | 0.501   | 2       |
      | drain             | send    | fail draining 0.001        | fail draining 0.001        | correct coverage | 3        | draining        | 0.01    | 2       |

  Scenario Outline: A fault (<fault>) without retry budget: <guarantee>
    Given one shard of four whose replicas behave as "<first>" and "<second>", without retry budget
    When a repeatable search is served
    Then the search covers <answered> shards, missing "<missing>"
    And the faulty shard was queried <queries> times

    Examples:
      | fault         | first                      | second  | guarantee     | answered | missing  | queries |
      | refused       | fail connect-refused 0.001 | healthy | full coverage | 4        | none     | 2       |
      | shed          | fail shed 0.001            | healthy | full coverage | 4        | none     | 2       |
      | crash         | fail broken 0.02           | healthy | full coverage | 4        | none     | 2       |
      | straggler     | slow 0.3                   | healthy | retry budget  | 4        | none     | 1       |
      | freeze        | slow 9                     | healthy | retry budget  | 3        | deadline | 1       |
      | truncated     | fail garbled 0.006         | healthy | retry budget  | 3        | garbled  | 1       |
      | crossed shard | crossed shard              | healthy | retry budget  | 3        | crossed  | 1       |

  Scenario Outline: A search that is not repeatable, with <first>, is sent <queries> times
    Given one shard of four whose replicas behave as "<first>" and "healthy"
    When a search that is not repeatable is served
    Then the search covers <answered> shards, missing "<missing>"
    And the faulty shard was queried <queries> times

    Examples:
      | first                      | answered | missing  | queries |
      | fail connect-refused 0.001 | 4        | none     | 2       |
      | fail shed 0.001            | 4        | none     | 2       |
      | fail broken 0.02           | 3        | broken   | 1       |
      | slow 9                     | 3        | deadline | 1       |
      | crossed shard              | 3        | crossed  | 1       |

  Scenario Outline: Replicas that serve <served> answer from snapshot <snapshot>
    Given replicas that serve versions "<served>" and shard maps "<maps>"
    When a repeatable search is served
    Then the search covers <answered> shards, missing "<missing>"
    And the answer comes from snapshot <snapshot>

    Examples:
      | served                          | maps                   | snapshot | answered | missing       |
      | s1-a=2 s1-b=1,2                 | 1=s0,s1,s2 2=s0,s1,s2  | 2        | 3        | none          |
      | s1-a=1 s1-b=1                   | 1=s0,s1,s2 2=s0,s1,s2  | 1        | 3        | none          |
      | s1-a=1 s1-b=1                   | 1=s0,s1,s2 2=s0,s1,s1x | 1        | 3        | none          |
      | s0-a=1 s0-b=1 s1-a=2 s1-b=2     | 1=s0,s1 2=s0,s1        | 1        | 1        | wrong-version |
      | s1-a=2 s1-b=2                   | 1=s0,s1                | 1        | 1        | wrong-version |
      | s1x-a=1 s1x-b=1 s1y-a=1 s1y-b=1 | 1=s0,s1 2=s0,s1x,s1y   | 1        | 2        | none          |

  Scenario Outline: A query with the fault <fault> on every replica stops after two upstreams
    Given every replica behaves as "<fault>"
    And the query needs a canary shard
    When a repeatable search is served
    Then at most 2 upstreams crashed
    And the search is refused as "quarantined", with ran "unknown"
    And the guard receives the crashed upstreams as suspects

    Examples:
      | fault |
      | crash |

  Scenario Outline: A canary shard with replicas "<first>" and "<second>" does not stop the query
    Given one shard of four whose replicas behave as "<first>" and "<second>"
    And the query needs a canary shard
    When a repeatable search is served
    Then the search covers <answered> shards, missing "<missing>"

    Examples:
      | first                      | second                     | answered | missing         |
      | healthy                    | healthy                    | 4        | none            |
      | fail connect-refused 0.001 | fail connect-refused 0.001 | 3        | connect-refused |
      | fail broken 0.001          | healthy                    | 4        | none            |
      | slow 9                     | healthy                    | 4        | none            |

  Scenario Outline: A refusal when every replica behaves as "<fault>" has ran <ran>
    Given every replica behaves as "<fault>"
    When a repeatable search is served
    Then the search is refused as "<kind>", with ran "<ran>"

    Examples:
      | fault                      | kind                 | ran     |
      | fail connect-refused 0.001 | upstream-unavailable | no      |
      | fail shed 0.001            | upstream-unavailable | no      |
      | fail draining 0.001        | upstream-unavailable | no      |
      | fail broken 0.001          | upstream-unavailable | unknown |
      | slow 9                     | deadline-exceeded    | unknown |

  Scenario Outline: A caller that disconnects after <seconds> s leaves no work upstream
    Given every replica behaves as "slow 9"
    When the caller disconnects after <seconds> s
    Then no sub-request is left running upstream

    Examples:
      | seconds |
      | 0.001   |
      | 0.06    |
      | 0.4     |

  Scenario Outline: Pairs of faults with a retry budget of <budget>
    Then every pair of faults passes the checks with budget <budget>

    Examples:
      | budget |
      | 9      |
      | 0      |
