Feature: Fault matrix of a search
  Every fault at every step of a sub-request, in virtual time, through the
  real service, driver and gather. Four shards have two replicas each; the
  faults sit on the replicas of one of them; the first is asked first. The
  deadline is 0.5 s, a hedge is due after 0.05 s.

  Every cell also checks: answered by the deadline; coverage as claimed, of
  the shard map of the snapshot; the records of that snapshot, each shard
  once; runs over one a shard within the budget, but for one replacement of a
  broken connection; "not run" only if nothing ran; no work left upstream.

  Scenario Outline: <fault> at <step> keeps <promise>
    Given the replicas of one shard of four that "<first>" and "<second>"
    When a repeatable search is served
    Then it answers <answered> shards, missing "<missing>"
    And it takes at most <seconds> s
    And the shard was asked <asked> times

    Examples: one faulty replica
      | fault              | step    | first                      | second | promise      | answered | missing | seconds | asked |
      | none               | none    | whole                      | whole  | no extra     | 4        | none    | 0.01    | 1     |
      | straggler          | wait    | slow 0.3                   | whole  | prompt       | 4        | none    | 0.06    | 2     |
      | straggler          | cancel  | late-after-cancel          | whole  | own answer   | 4        | none    | 0.06    | 2     |
      | crash              | send    | lose broken 0.001          | whole  | coverage 1   | 4        | none    | 0.01    | 2     |
      | crash              | wait    | lose broken 0.02           | whole  | coverage 1   | 4        | none    | 0.03    | 2     |
      | crash              | read    | runs-then-breaks           | whole  | coverage 1   | 4        | none    | 0.02    | 2     |
      | crash              | merge   | lose broken 0.04           | whole  | coverage 1   | 4        | none    | 0.05    | 2     |
      | crash              | hedge   | lose broken 0.052          | whole  | coverage 1   | 4        | none    | 0.06    | 2     |
      | freeze             | connect | lose connect-timeout 0.03  | whole  | coverage 1   | 4        | none    | 0.04    | 2     |
      | freeze             | wait    | slow 9                     | whole  | prompt       | 4        | none    | 0.06    | 2     |
      | refused connection | connect | lose connect-refused 0.001 | whole  | coverage 1   | 4        | none    | 0.01    | 2     |
      | full connections   | connect | lose no-connection 0.001   | whole  | coverage 1   | 4        | none    | 0.01    | 2     |
      | connection silent  | wait    | lose silent 0.03           | whole  | coverage 1   | 4        | none    | 0.04    | 2     |
      | answer lost        | read    | runs-then-silent           | whole  | prompt       | 4        | none    | 0.06    | 2     |
      | late answer        | hedge   | slow 0.051                 | whole  | once counted | 4        | none    | 0.06    | 2     |
      | crossed shard      | read    | crossed shard              | whole  | own answer   | 4        | none    | 0.02    | 2     |
      | crossed version    | read    | crossed version            | whole  | one snapshot | 4        | none    | 0.02    | 2     |
      | truncated          | read    | lose garbled 0.006         | whole  | own answer   | 4        | none    | 0.02    | 2     |
      | adapter fault      | read    | raise                      | whole  | prompt       | 4        | none    | 0.02    | 2     |
      | false health       | connect | lose connect-refused 0.001 | whole  | coverage 1   | 4        | none    | 0.01    | 2     |
      | false load         | wait    | slow 0.2                   | whole  | prompt       | 4        | none    | 0.06    | 2     |
      | drain              | send    | lose draining 0.001        | whole  | coverage 1   | 4        | none    | 0.01    | 2     |
      | cold start         | wait    | slow 0.04                  | whole  | no extra     | 4        | none    | 0.05    | 1     |
      | shed               | send    | lose shed 0.001            | whole  | coverage 1   | 4        | none    | 0.01    | 2     |
      | version change     | send    | lose wrong-version 0.001   | whole  | one snapshot | 4        | none    | 0.01    | 2     |

    Examples: both replicas faulty
      | fault              | step    | first                      | second                     | promise       | answered | missing         | seconds | asked |
      | shed once twice    | send    | lose shed 0.001 1          | lose shed 0.001 1          | coverage 1    | 4        | none            | 0.04    | 3     |
      | shed for good      | send    | lose shed 0.001            | lose shed 0.001            | true coverage | 3        | shed            | 0.06    | 4     |
      | shed and dead      | send    | lose shed 0.001 1          | lose connect-refused 0.001 | coverage 1    | 4        | none            | 0.04    | 3     |
      | full connections   | connect | lose no-connection 0.001 1 | lose no-connection 0.001 1 | coverage 1    | 4        | none            | 0.04    | 3     |
      | lost replica set   | connect | lose connect-refused 0.001 | lose connect-refused 0.001 | true coverage | 3        | connect-refused | 0.01    | 2     |
      | lost replica set   | wait    | lose broken 0.02           | lose broken 0.02           | true coverage | 3        | broken          | 0.05    | 2     |
      | freeze             | hedge   | slow 9                     | slow 9                     | prompt        | 3        | deadline        | 0.501   | 2     |
      | crash              | hedge   | slow 0.2                   | lose broken 0.02           | coverage 1    | 4        | none            | 0.21    | 2     |
      | shed               | hedge   | slow 0.2                   | lose shed 0.001            | coverage 1    | 4        | none            | 0.21    | 3     |
      | crash              | cancel  | late-after-cancel          | runs-then-breaks           | true coverage | 3        | deadline        | 0.501   | 2     |
      | drain              | send    | lose draining 0.001        | lose draining 0.001        | true coverage | 3        | draining        | 0.01    | 2     |

  Scenario Outline: <fault> with the budget spent keeps <promise>
    Given replicas of that shard that "<first>" and "<second>" without budget
    When a repeatable search is served
    Then it answers <answered> shards, missing "<missing>"
    And the shard was asked <asked> times

    Examples:
      | fault         | first                      | second | promise    | answered | missing  | asked |
      | refused       | lose connect-refused 0.001 | whole  | coverage 1 | 4        | none     | 2     |
      | shed          | lose shed 0.001            | whole  | coverage 1 | 4        | none     | 2     |
      | crash         | lose broken 0.02           | whole  | coverage 1 | 4        | none     | 2     |
      | straggler     | slow 0.3                   | whole  | budget     | 4        | none     | 1     |
      | freeze        | slow 9                     | whole  | budget     | 3        | deadline | 1     |
      | truncated     | lose garbled 0.006         | whole  | budget     | 3        | garbled  | 1     |
      | crossed shard | crossed shard              | whole  | budget     | 3        | crossed  | 1     |

  Scenario Outline: A search that may not be repeated, with <first>, is asked <asked> times
    Given the replicas of one shard of four that "<first>" and "whole"
    When a search that may not be repeated is served
    Then it answers <answered> shards, missing "<missing>"
    And the shard was asked <asked> times

    Examples:
      | first                      | answered | missing  | asked |
      | lose connect-refused 0.001 | 4        | none     | 2     |
      | lose shed 0.001            | 4        | none     | 2     |
      | lose broken 0.02           | 3        | broken   | 1     |
      | slow 9                     | 3        | deadline | 1     |
      | crossed shard              | 3        | crossed  | 1     |

  Scenario Outline: Replicas that hold <served> answer from snapshot <snapshot>
    Given index versions "<served>" on the replicas and shard maps "<maps>"
    When a repeatable search is served
    Then it answers <answered> shards, missing "<missing>"
    And the answer comes from snapshot <snapshot>

    Examples:
      | served                                   | maps                    | snapshot | answered | missing       |
      | s1-a=2 s1-b=1,2                          | 1=s0,s1,s2 2=s0,s1,s2   | 2        | 3        | none          |
      | s1-a=1 s1-b=1                            | 1=s0,s1,s2 2=s0,s1,s2   | 1        | 3        | none          |
      | s1-a=1 s1-b=1                            | 1=s0,s1,s2 2=s0,s1,s1x  | 1        | 3        | none          |
      | s0-a=1 s0-b=1 s1-a=2 s1-b=2              | 1=s0,s1 2=s0,s1         | 1        | 1        | wrong-version |
      | s1-a=2 s1-b=2                            | 1=s0,s1                 | 1        | 1        | wrong-version |
      | s1x-a=1 s1x-b=1 s1y-a=1 s1y-b=1          | 1=s0,s1 2=s0,s1x,s1y    | 1        | 2        | none          |

  Scenario Outline: A query that would "<fault>" on each replica is stopped after two upstreams
    Given every replica would "<fault>"
    And the query must be tried on one shard first
    When a repeatable search is served
    Then at most 2 upstreams crashed
    And it is refused as "quarantined", run "unknown"
    And the suspects are named to the guard

    Examples:
      | fault  |
      | poison |

  Scenario Outline: A canary is not stopped by replicas that "<first>" and "<second>"
    Given the replicas of one shard of four that "<first>" and "<second>"
    And the query must be tried on one shard first
    When a repeatable search is served
    Then it answers <answered> shards, missing "<missing>"

    Examples:
      | first                      | second                     | answered | missing         |
      | whole                      | whole                      | 4        | none            |
      | lose connect-refused 0.001 | lose connect-refused 0.001 | 3        | connect-refused |
      | lose broken 0.001          | whole                      | 4        | none            |
      | slow 9                     | whole                      | 4        | none            |

  Scenario Outline: When every replica would "<fault>" the refusal says <ran>
    Given every replica would "<fault>"
    When a repeatable search is served
    Then it is refused as "<kind>", run "<ran>"

    Examples:
      | fault                      | kind                 | ran     |
      | lose connect-refused 0.001 | upstream-unavailable | no      |
      | lose shed 0.001            | upstream-unavailable | no      |
      | lose draining 0.001        | upstream-unavailable | no      |
      | lose broken 0.001          | upstream-unavailable | unknown |
      | slow 9                     | deadline-exceeded    | unknown |

  Scenario Outline: A caller that hangs up after <seconds> s leaves no work
    Given every replica would "slow 9"
    When the caller hangs up after <seconds> s
    Then nothing is left running upstream

    Examples:
      | seconds |
      | 0.001   |
      | 0.06    |
      | 0.4     |

  Scenario Outline: Faults in pairs, with a budget of <budget>
    Then every pair of faults holds with budget <budget>

    Examples:
      | budget |
      | 9      |
      | 0      |
