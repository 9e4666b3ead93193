Feature: Links to replicas
  Each answer reaches its own request; what may have run is never "not run".

  Scenario: The library as it comes hands a late answer to the next request
    Given a replica on a loopback address
    When the plain library gives up on "/slow" and then asks for "/fast"
    Then the plain library was given the answer of "/slow"

  Scenario: A link never does
    Given a replica on a loopback address
    When a link gives up on "/slow" and then asks for "/fast"
    Then the link was given the answer of "/fast" alone

  Scenario Outline: A <fault> answer is <outcome> and harms no other request
    Given a replica on a loopback address
    And its answers are "<fault>"
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

  Scenario: A late answer is counted and reaches nobody
    Given a replica on a loopback address
    And it answers after 0.15 seconds and ignores cancels
    When a sub-request is given up after 0.05 seconds
    Then the sub-request ended "silent", which may have run: yes
    And one more late answer is counted
    And 20 further sub-requests get their own answers

  Scenario: A cancelled sub-request is cancelled on the replica
    Given a replica on a loopback address
    And it answers after 5 seconds
    When a sub-request is cancelled after 0.05 seconds
    Then the replica was asked to cancel it
    And no connection to the replica was closed
    And 20 further sub-requests get their own answers

  Scenario Outline: <state> replica is told apart, and nothing was sent to it
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

  Scenario Outline: With <nodes> instances at most <part> connections are held
    Given a replica on a loopback address
    And <nodes> instances are listed
    When 40 sub-requests are sent to it at once
    Then all 40 were answered over at most <part> connections

    Examples:
      | nodes | part |
      | 1     | 12   |
      | 3     | 4    |
      | 8     | 1    |

  Scenario Outline: A process that is held up does not call an open slow
    Given something that answers after <answer> seconds
    When it is awaited for 0.3 seconds by a process that is held up for <held>
    Then it <ends>

    Examples:
      | answer | held | ends      |
      | 0.1    | 0    | answers   |
      | 0.4    | 0    | times out |
      | 0.4    | 0.5  | answers   |
      | 2      | 0.5  | times out |

  Scenario: Connections that went silent are replaced within seconds
    Given a replica on a loopback address
    And 3 instances are listed
    When 8 sub-requests are sent to it at once
    And all open connections go silent
    And health is read 3 times, as the poller does
    Then 8 sub-requests sent at once get their own answers in 0.5 seconds
    And within 3 seconds 20 further sub-requests get their own answers
    And at most 8 connections were opened since

  Scenario: A slow replica's connections are kept
    Given a replica on a loopback address
    And 3 instances are listed
    When 8 sub-requests are sent to it at once
    And it answers after 0.4 seconds
    And 4 sub-requests are given up one by one after 0.1 seconds
    Then no connection was retired
