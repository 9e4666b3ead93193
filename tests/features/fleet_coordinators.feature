Feature: Fan-outs given to a faster instance, between processes
  A slow gateway (g0) and a fast one (g1), seen from callers and replicas.

  Scenario: A fast instance coordinates what a slow one is asked
    Given a slow and a fast gateway
    When a fan-out is asked
    Then its answer is that of 4 shards, with 0 missing
    And g0 has logged that g1 coordinated it, under its id
    And g1 has logged what it asked of replicas, under the same id

  Scenario: A request to one replica stays with the instance it came to
    Given a slow and a fast gateway
    When 10 reads are made
    Then each is answered 200
    And g1 has logged no request

  Scenario Outline: A coordinator that is <state> does not hold a fan-out up
    Given a slow and a fast gateway
    And the repeats of a whole window are saved up
    When g1 is <state> while a fan-out is asked
    Then its answer is that of 4 shards, with 0 missing, within 0.25 seconds
    And a second one is answered within 0.1 seconds

    Examples:
      | state   |
      | frozen  |
      | killed  |

  Scenario: A coordinator that is lost at work ends the request at once
    Given a slow and a fast gateway
    And each run takes 1 second
    When g1 is killed 0.2 seconds after a fan-out was asked
    Then it is answered 502 within 0.35 seconds
    And no replica was asked after that

  Scenario: A caller that leaves stops the work of the coordinator
    Given a slow and a fast gateway
    And each run takes 1 second
    When a caller of a fan-out leaves after 0.2 seconds
    Then no replica works on it 0.5 seconds later

  Scenario: A coordinator that is told to stop finishes what it was given
    Given a slow and a fast gateway
    And each run takes 0.1 second
    When g1 is told to stop 0.05 seconds after a fan-out was asked
    Then its answer is that of 4 shards, with 0 missing
    And a second one is coordinated by g0

  Scenario: Instances of different configurations do not work for each other
    Given a slow and a fast gateway
    And g1 does not learn of the next configuration
    When a fan-out is asked whose route only the next configuration has
    Then its answer is that of 4 shards, with 0 missing
    And g1 has logged no request

  Scenario: A request that is not understood between instances is refused
    Given a slow and a fast gateway
    Then a delegated request that says "7" or "x y" is answered 400
