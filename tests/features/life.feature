Feature: The life of a node
  A planned stop cuts no request; a hurried one answers each.

  Scenario: The states of a node
    Then a node that drains is not ready and only goes on to stopped

  Scenario Outline: The gate at the end of a stop: a request <step>
    Given a gate whose request is <step>
    When the gate is shut
    Then the gated caller got "<answer>" that ran "<ran>"

    Examples:
      | step             | answer          | ran     |
      | before its start | draining        | no      |
      | in progress      | outcome-unknown | unknown |
      | in a stream      | a whole stream  | -       |

  Scenario Outline: SIGTERM under load cuts nothing, lag <lag> s
    Given two nodes before an upstream that takes 50 ms
    When one node gets SIGTERM while 12 callers keep connections, lag <lag> s
    Then no caller was cut and the node ended by itself with code 0

    Examples:
      | lag |
      | 0.2 |
      | 0.9 |

  Scenario: A second SIGTERM answers every request in progress
    Given two nodes before an upstream that takes 3000 ms
    When one node gets SIGTERM twice while 8 callers wait
    Then each waiting caller got an answer that names the outcome unknown

  Scenario: The bound of a stop answers every request in progress
    Given two nodes before an upstream that takes 6000 ms
    When one node gets SIGTERM while 4 callers wait past its bound of 2 s
    Then each waiting caller got an answer that names the outcome unknown

  Scenario: Killed, frozen and foreign nodes as their peers see them
    Given two nodes before an upstream that takes 50 ms
    Then a frozen node is held dead, and alive again after it goes on
    And a node with another key is never held alive
    And a node that starts while the KV is down is ready from its peer
    And a killed node is held dead
