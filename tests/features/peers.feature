Feature: The channel between nodes
  A frame that is not the cluster's own is counted and dropped.

  Scenario: The frame decoder never raises nor takes a tampered frame
    Then peer frames survive a round trip
    And peer noise is never accepted
    And tampered peer frames are never accepted
    And a decoder that skips the peer tag is caught

  Scenario: Repeats and floods are bounded
    Then the peer replay guard admits a frame once
    And the peer rate limit holds

  Scenario Outline: A frame with <case> is dropped
    Then a peer frame with "<case>" is dropped for its reason

    Examples:
      | case              |
      | another key       |
      | another cluster   |
      | another version   |
      | a nameless sender |
      | too many bytes    |
      | a bad number      |

  Scenario Outline: Keys are exchanged: signed by <signing>, accepting <keys>
    Then a peer frame signed "<signing>" where "<keys>" hold is <verdict>

    Examples:
      | signing | keys    | verdict  |
      | old     | old     | accepted |
      | old     | old new | accepted |
      | new     | old new | accepted |
      | new     | new old | accepted |
      | old     | new old | accepted |
      | old     | new     | refused  |
      | new     | old     | refused  |

  Scenario: Real peers find each other, pass news on and publish reports
    Given 3 peers over loopback
    Then each peer hears each other within 10 s
    And a position of one peer is on all within 20 s
    And a report of one peer reaches all others once

  Scenario Outline: A peer stops when a frame is there at the same time: <step>
    Then a peer cancelled as a "<step>" ends is cancelled

    Examples:
      | step    |
      | receive |
      | send    |
      | ask     |
      | close   |

  Scenario: Many peers get a report by the relay tree
    Given 20 peers over loopback
    Then a report of one peer reaches all others once

  Scenario: A peer with another key is ignored
    Given 3 peers over loopback of which the last has another key
    Then the peers ignore the last one's position and report

  Scenario: A report that is too large is refused where it begins
    Given 2 peers over loopback
    Then a report over the bound raises an error that names it

  Scenario: Settings of keys are checked and not shown
    Then a bad peer key is refused without being shown
