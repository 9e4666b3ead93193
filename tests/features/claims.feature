Feature: Actions that run at most once
  An action could run twice if a caller repeats it at another node while the
  first node pauses or crashes, if clocks differ, or if a lease expires. The
  claim logic runs here over a model KV and model upstreams.

  Scenario: No action runs twice, and none reported as not run has run
    Then the action state machine finds no fault in 100 histories

  Scenario Outline: The action state machine finds a fault in "<variant>"
    Then the action state machine finds the fault "<fault>" in "<variant>"

    Examples:
      | variant                             | fault                     |
      | send before the claim is confirmed  | ran 2 times               |
      | no read-back                        | ran 2 times               |
      | take over an expired claim          | ran 2 times               |
      | a lease instead of a claim          | ran 2 times               |
      | claims that expire before their key | ran 2 times               |
      | keys that never expire              | ran 2 times               |
      | retry after a lost reply            | reported not run, but ran |
      | report not run after a lost reply   | ran 2 times               |

  Scenario Outline: The fate <fate> at the step <step> of an action
    When an action's <step> meets "<fate>" and its key is repeated elsewhere
    Then it reports "<first>", the repeat "<repeat>" and it ran <count> times

    Examples:
      | step   | fate              | first   | repeat  | count |
      | claim  | ok                | answer  | answer  | 1     |
      | claim  | refused           | answer  | answer  | 1     |
      | claim  | lost-before       | answer  | answer  | 1     |
      | claim  | lost-after        | answer  | answer  | 1     |
      | claim  | delayed           | answer  | answer  | 1     |
      | claim  | outage            | no      | answer  | 1     |
      | claim  | lost, then outage | no      | unknown | 0     |
      | claim  | kill              | nothing | unknown | 0     |
      | claim  | freeze            | no      | answer  | 1     |
      | claim  | race              | answer  | unknown | 1     |
      | check  | kill              | nothing | unknown | 0     |
      | check  | freeze            | no      | answer  | 1     |
      | send   | refused           | answer  | answer  | 1     |
      | send   | lost-before       | unknown | unknown | 0     |
      | send   | lost-after        | unknown | unknown | 1     |
      | send   | kill              | nothing | unknown | 1     |
      | send   | freeze            | no      | answer  | 1     |
      | send   | race              | answer  | unknown | 1     |
      | record | refused           | answer  | answer  | 1     |
      | record | lost-before       | answer  | answer  | 1     |
      | record | lost-after        | answer  | answer  | 1     |
      | record | outage            | answer  | unknown | 1     |
      | record | kill              | answer  | answer  | 1     |
      | record | freeze            | answer  | answer  | 1     |

  Scenario Outline: A key that is <key> is <state>
    Then the idempotency key "<key>" is "<state>"

    Examples:
      | key                      | state   |
      | new                      | valid   |
      | new, in capitals         | valid   |
      | a day and a minute old   | expired |
      | ten minutes ahead        | invalid |
      | a UUID of version 4      | invalid |
      | no UUID                  | invalid |

  Scenario: The same key with another body is refused
    When an action has run and its key is sent with another body
    Then the repeat is refused as "reused" and the action ran 1 times
