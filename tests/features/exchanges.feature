Feature: Exchanges over kept connections
  Whatever a replica sends, a call ends with its own whole answer or with a
  typed failure, and a connection that is not clean is not used again.

  Scenario Outline: <what> is taken as <outcome>, and the connection is <after>
    Given a server that sends <what>
    When two calls are made one after the other
    Then the first ends as "<outcome>"
    And the connection is <after>
    And the second is answered with its own answer

    Examples:
      | what                                      | outcome  | after    |
      | a whole answer                            | answered | kept     |
      | a chunked answer                          | answered | kept     |
      | an answer after another request's answer  | answered | kept     |
      | an answer after an informational one      | answered | kept     |
      | an answer that ends with its connection   | answered | replaced |
      | an answer that is reset with no length    | broken   | replaced |
      | a part of an answer                       | broken   | replaced |
      | bytes that are no answer                  | garbled  | replaced |
      | two lengths that differ                   | garbled  | replaced |
      | an answer and then another one            | answered | replaced |
      | an answer and then other bytes            | answered | replaced |
      | an answer that says it closes             | answered | replaced |
      | a reset before any answer                 | broken   | replaced |

  Scenario: A second answer that comes late is not taken for the next one
    Given a server with a second answer 50 ms after each one
    When 5 calls are made 80 ms apart
    Then each is answered with its own answer

  Scenario: A silent connection is closed soon after the deadline
    Given a server that sends nothing
    When a call is made with 0.1 seconds to go
    Then it ends as "silent" within 0.4 seconds

  Scenario: A call that is abandoned is told of its late end
    Given a server that sends a whole answer after 0.1 seconds
    When a call is abandoned after 0.02 seconds
    Then its late end is "answered", and its connection is used again

  Scenario: A call that is killed closes its connection
    Given a server that sends a whole answer after 0.1 seconds
    When a call is killed after 0.02 seconds
    Then the server sees the connection end within 0.05 seconds

  Scenario: No more connections than allowed are open
    Given a server that sends a whole answer after 0.02 seconds
    When 12 calls are made at once through 3 connections
    Then each is answered with its own answer
    And the server saw 3 connections

  Scenario: A request that may run once only is not sent on an old connection
    Given a server that sends a whole answer
    When a call is made, and 0.2 seconds later one that wants 0.1 seconds
    Then the server saw 2 connections

  Scenario: Nobody listens
    Given an address where nobody listens
    When a call is made with 1 seconds to go
    Then it ends as "connect-refused" within 0.5 seconds
