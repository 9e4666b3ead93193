Feature: Connections to replicas
  An answer must never be delivered to another request, and a sub-request that
  may have run must never be reported as not run.

  Scenario: The HTTP library returns a late answer for the next request
    Given a replica on a loopback address
    When the HTTP library times out on "/slow" and then requests "/fast"
    Then the HTTP library returned the answer of "/slow"

  Scenario: A replica connection never returns a late answer
    Given a replica on a loopback address
    When a connection times out on "/slow" and a new one requests "/fast"
    Then the first one was closed and the new one returned the answer of "/fast"

  Scenario Outline: A <fault> answer is <outcome>, without effect on others
    Given a replica on a loopback address
    And it answers with the fault "<fault>"
    When a sub-request is sent to it
    Then the sub-request ended "<outcome>", which may have run: <ran>
    And 20 further sub-requests get their own answers

    Examples:
      | fault           | outcome       | ran |
      | none            | answered      | yes |
      | crossed         | crossed       | yes |
      | crossed-body    | crossed       | yes |
      | other-shard     | crossed       | yes |
      | doubled         | answered      | yes |
      | truncated       | broken        | yes |
      | lost            | broken        | yes |
      | garbled         | garbled       | yes |
      | garbled-head    | garbled       | yes |
      | no-body         | garbled       | yes |
      | shed            | shed          | no  |
      | draining        | draining      | no  |
      | wrong-version   | wrong-version | no  |
      | false-refusal   | broken        | yes |
      | unnamed-refusal | crossed       | yes |

  Scenario: A late answer is counted and discarded
    Given a replica on a loopback address
    And it answers after 0.15 seconds and ignores cancel requests
    When a sub-request times out after 0.05 seconds
    Then the sub-request ended "silent", which may have run: yes
    And one more late answer is counted
    And 20 further sub-requests get their own answers

  Scenario: A cancelled sub-request is cancelled on the replica
    Given a replica on a loopback address
    And it answers after 5 seconds
    When a sub-request is cancelled after 0.05 seconds
    Then the replica received a request to cancel it
    And no connection to the replica was closed
    And 20 further sub-requests get their own answers

  Scenario Outline: A replica that is <state> is reported as <outcome>
    Given a replica on a loopback address
    And it is "<state>"
    When a sub-request is sent to it
    Then the sub-request ended "<outcome>", which may have run: no
    And no sub-request reached the replica

    Examples:
      | state        | outcome         |
      | full         | no-connection   |
      | not listening | connect-refused |
      | not answering | connect-timeout |

  Scenario Outline: With <nodes> instances the quota is <quota> connections
    Given a replica on a loopback address
    And <nodes> instances are listed
    When 40 sub-requests are sent to it at once
    Then all 40 were answered over at most <quota> connections

    Examples:
      | nodes | quota |
      | 1     | 12    |
      | 3     | 4     |
      | 8     | 1     |

  Scenario Outline: A stalled process does not time out an operation too early
    Given an operation that completes after <duration> seconds
    When it is awaited for 0.3 seconds by a process that stalls for <stall>
    Then it <result>

    Examples:
      | duration | stall | result    |
      | 0.1      | 0     | completes |
      | 0.4      | 0     | times out |
      | 0.4      | 0.5   | completes |
      | 2        | 0.5   | times out |

  Scenario: Silent connections are replaced within seconds
    Given a replica on a loopback address
    And 3 instances are listed
    When 8 sub-requests are sent to it at once
    And all open connections become silent
    And health is read 3 times, as by the poller
    Then 8 sub-requests sent at once get their own answers within 0.5 seconds
    And within 3 seconds 20 further sub-requests get their own answers
    And at most 8 connections were opened since they became silent

  Scenario: Connections to a slow replica are not taken for silent ones
    Given a replica on a loopback address
    And 3 instances are listed
    When 8 sub-requests are sent to it at once
    And it answers after 0.4 seconds
    And 4 sub-requests time out one by one after 0.1 seconds
    Then no connection was retired
