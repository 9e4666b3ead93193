Feature: Gateways as processes on the users' machines
  Real gateways, with a stand-in of the store and of the replicas, seen from
  callers and replicas.

  Scenario: A fan-out is answered with the greatest records of every shard
    Given a fleet with 1 gateway
    When a fan-out is asked
    Then its answer is that of 4 shards, with 0 missing

  Scenario: A shard without a living replica is left out and said to be
    Given a fleet with 1 gateway
    And no replica of s2 listens
    When a fan-out is asked
    Then its answer is that of 3 shards, with 1 missing

  Scenario: Too few shards are no answer
    Given a fleet with 1 gateway
    And no replica of s2 listens
    And no replica of s1 listens
    When a fan-out is asked
    Then it is answered 502 within 0.3 seconds

  Scenario: A fan-out whose shards are not registered is refused as not run
    Given a fleet with 1 gateway
    And no replica of s1 and s2 is registered
    When a fan-out is asked
    Then its answer says to come back after 0.5 seconds, and nothing ran

  Scenario: A shard that is silent does not hold the answer up
    Given a fleet with 1 gateway
    And every replica of s1 is "silent"
    When a fan-out is asked
    Then its answer is that of 3 shards, with 1 missing, within 0.25 seconds

  Scenario Outline: A payment whose replicas are <mode> ends <status>
    Given a fleet with 1 gateway
    And every replica of single is "<mode>"
    When a payment is made
    Then it is answered <status> and ran <runs> times

    Examples:
      | mode     | status | runs |
      | ok       | 200    | 1    |
      | shed     | 503    | 0    |
      | crash    | 502    | 1    |
      | truncate | 502    | 1    |
      | fail     | 500    | 1    |

  Scenario: A refusal says when to come back
    Given a fleet with 1 gateway
    And every replica of single is "shed"
    When a payment is made
    Then its answer says to come back within 1 second

  Scenario: A read goes to another replica when one crashes
    Given a fleet with 1 gateway
    And the replica i-single-0 is "crash"
    When 10 reads are made
    Then each is answered 200

  Scenario Outline: A request with <fault> is refused with <status> and not run
    Given a fleet with 1 gateway
    When a request with <fault> is sent
    Then it is answered <status> and nothing ran

    Examples:
      | fault                      | status |
      | both framings              | 400    |
      | two lengths                | 400    |
      | no host                    | 400    |
      | no id                      | 400    |
      | headers that are too large | 431    |
      | a body that is too large   | 413    |
      | headers that never end     | 408    |
      | an unknown path            | 404    |

  Scenario: Requests sent ahead on one connection are answered in order
    Given a fleet with 1 gateway
    When 3 reads are sent at once on one connection
    Then they are answered in order

  Scenario: A caller that leaves stops the work
    Given a fleet with 1 gateway
    And each run takes 1 second
    When a caller leaves after 0.2 seconds
    Then every run of it has lost its caller within 0.5 seconds

  Scenario: A planned stop cuts no request
    Given a fleet with 2 gateways
    When callers ask on kept connections while g0 is told to stop
    Then it is not ready at once, and has ended with 0 within 6 seconds
    And no request was cut

  Scenario: A configuration is in force soon and an older one never
    Given a fleet with 3 gateways
    When a route is added
    Then within 3 seconds each gateway serves it
    When the store shows an older configuration
    Then each gateway still serves it after 2.5 seconds

  Scenario: A replica that drains gets nothing after the bound
    Given a fleet with 2 gateways
    When the busiest replica of s0 drains while fan-outs are asked
    Then it gets none later than 3 seconds after it said so

  Scenario: Replicas that lapse in an outage stay in use until the return
    Given a fleet with 2 gateways
    When the store is "reset" and forgets every replica
    Then fan-outs are answered for 3 seconds
    When the store is back with all but i-s0-0
    Then within 4 seconds i-s0-0 gets nothing and fan-outs are answered

  Scenario: An address that another service took over is not asked for the old
    Given a fleet with 1 gateway
    When the address of i-s0-0 is taken over by a replica of single unannounced
    Then 20 fan-outs are answered and the new replica ran none

  Scenario: Gateways that the store turns away learn from the others
    Given a fleet with 4 gateways
    When the store turns a gateway away that does not read it
    And a route is added
    Then within 3 seconds each gateway serves it

  Scenario: Gateways that follow one that the store turns away ask elsewhere
    Given a fleet with 4 gateways
    When the store turns a gateway away that reads it
    And a route is added
    Then within 3 seconds each gateway serves it

  Scenario: A reader that is cut off from the store learns from the other
    Given a fleet with 2 gateways
    When g1 is cut off from the store
    And a route is added
    Then within 3 seconds each gateway serves it

  Scenario: A fleet whose reader is killed goes on learning
    Given a fleet with 4 gateways
    When a gateway that reads the store is killed
    And a route is added
    Then within 3 seconds each gateway serves it

  Scenario: A gateway without a configuration refuses at once
    Given a fleet whose store is "silent" with 1 gateway not ready
    When a fan-out is asked
    Then it is answered 503 within 0.3 seconds
    And its answer says to come back within 1 second

  Scenario: A request can be followed from its id to its cause
    Given a fleet with 1 gateway
    And every replica of single is "crash"
    When a payment is made
    Then the log names its replica and the reason "broken"
    And the metrics page counts it

  Scenario: A log that nobody reads holds nothing up
    Given a fleet with 1 gateway whose log nobody reads
    When 600 reads are made
    Then each is answered 200

  Scenario: Settings that change are taken, those that are odd are not
    Given a fleet with 1 gateway
    When its settings are broken and it is told so
    Then its log says "settings not usable, kept"
    When its settings are mended with another grace and it is told so
    Then its log says "settings read again"
    And the gateway still serves

  Scenario: A gateway that is told to stop while it starts ends cleanly
    Given a fleet with 1 gateway
    When another gateway is told to stop as soon as it catches the signal
    Then that gateway ends with 0 within 5 seconds

  Scenario: A store that cuts every connection is not stormed by its followers
    Given a fleet with 6 gateways
    When the store cuts every connection and then changes 100 times a second
    Then in 2 seconds it is called at most 60 times

  # 2 readers, 2 keys, 8 tries; 6 instances renew 4 times; 4 followers, 2 keys,
  # 2 tries: 72.
  Scenario: A store that refuses everybody is asked seldom and found again soon
    Given a fleet with 6 gateways
    When the store refuses every call for 4 seconds
    Then its readers alone ask it often: at most 75 calls
    When a route is added
    Then within 3 seconds each gateway serves it
