Feature: Poison requests
  A request that crashes the upstreams that run it would take down the fleet if
  it were retried and repeated. It is stopped once two upstreams have crashed.

  Scenario Outline: Poison property <property>
    Then every poison history satisfies "<property>"

    Examples:
      | property                               |
      | at_most_two_upstreams_crash            |
      | harmless_requests_need_two_crashes     |
      | caches_are_bounded                     |
      | fan_out_crashes_alone_never_quarantine |
      | suspects_never_share_an_upstream       |

  Scenario Outline: The known-bad poison variant <property>
    Then some poison history violates "<property>"

    Examples:
      | property                        |
      | two_upstreams_without_canaries  |
      | two_upstreams_with_late_reports |

  Scenario Outline: Crashes <crashes> of one fingerprint
    Given crashes "<crashes>" of one fingerprint at second 0
    Then at second <second> the fingerprint is "<state>"

    Examples: an upstream after a: ran it as a canary, after f: in a fan-out
      | crashes       | second | state       |
      | a:U           | 1      | suspect     |
      | a:U a:U       | 1      | suspect     |
      | f:U f:V f:W   | 1      | suspect     |
      | a:U a:V       | 1      | quarantined |
      | f:U a:V       | 1      | quarantined |
      | f:U a:U       | 1      | suspect     |
      | a:U ok        | 1      | cleared     |
      | a:U ok a:V    | 1      | suspect     |
      | a:U a:V ok    | 1      | quarantined |
      | a:U report:V  | 1      | quarantined |
      | report:U      | 1      | suspect     |
      | a:U a:V       | 600    | new         |
      | ok            | 600    | new         |

  Scenario Outline: Repeats at every instance in turn, reports <report>
    Given a fleet whose crash reports are <report>
    When the poison request is sent to each instance in turn, twice
    Then the poison request crashed at most 2 upstreams
    And the last repeat is refused as "quarantined", with ran "no"

    Examples:
      | report    |
      | delivered |
      | lost      |

  Scenario: Repeats at every instance at once, beside harmless requests
    Given a fleet whose crash reports are delivered
    When the poison and harmless requests are sent to all instances at once
    Then the poison request crashed at most 2 upstreams
    And afterwards the poison request is refused, harmless ones are answered

  Scenario: Without a crash guard a poison request crashes more upstreams
    Given a fleet without a crash guard
    When the poison request is sent to each instance in turn, twice
    Then the poison request crashed more than 2 upstreams

  Scenario Outline: An action that crashes upstreams, sent with new keys, reports <report>
    Given a fleet whose crash reports are <report>
    When one action is sent to each instance in turn, three times, with new keys
    Then the action was sent to at most <sent> upstreams
    And the last action is refused as "<kind>", with ran "<state>"
    And a repeat of the first key is refused as "outcome-unknown", with ran "unknown"
    And an action with another body is answered

    Examples:
      | report    | sent | kind        | state |
      | delivered | 2    | quarantined | no    |
      | lost      | 8    | quarantined | no    |
