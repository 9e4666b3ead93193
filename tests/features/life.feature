Feature: Lifecycle of a node
  A graceful shutdown must not drop a request. A shutdown that is forced or
  runs out of time must still answer each request in progress.

  Scenario: A draining node never serves again
    Then a draining node is not ready and can only become stopped

  Scenario Outline: The end of a shutdown answers a request <step>
    Given a request tracker with a request <step>
    When the request tracker is aborted
    Then the tracked request got "<answer>" that ran "<ran>"

    Examples:
      | step             | answer          | ran     |
      | before its start | draining        | no      |
      | in progress      | outcome-unknown | unknown |
      | in a stream      | a whole stream  | -       |

  Scenario Outline: SIGTERM under load drops no request, balancer lag <lag> s
    Given two nodes with an upstream that takes 50 ms
    When one node gets SIGTERM while 12 callers keep connections, lag <lag> s
    Then no request was dropped and the node exited by itself with code 0

    Examples:
      | lag |
      | 0.2 |
      | 0.9 |

  Scenario: A second SIGTERM answers every request in progress
    Given two nodes with an upstream that takes 3000 ms
    When one node gets SIGTERM twice while 8 callers wait
    Then each waiting caller got an answer that reports an unknown outcome

  Scenario: The time limit of a shutdown answers every request in progress
    Given two nodes with an upstream that takes 6000 ms
    When one node gets SIGTERM while 4 callers wait past its limit of 2 s
    Then each waiting caller got an answer that reports an unknown outcome

  Scenario: Peers detect frozen, unauthenticated and killed nodes
    Given two nodes with an upstream that takes 50 ms
    Then a frozen node is reported dead, and alive again after it continues
    And a node with another peer key is never reported alive
    And a node that starts while the KV is down becomes ready through its peer
    And a killed node is reported dead
