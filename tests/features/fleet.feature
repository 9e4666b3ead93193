Feature: What an instance of a fleet believes
  Routes, replicas, readers of the store and the budget of repeats, each
  checked against a plain account of the same history.

  Scenario Outline: The property <name> holds for any history
    Then the fleet property "<name>" holds

    Examples:
      | name                                      |
      | longest_prefix_wins                       |
      | configuration_never_goes_back             |
      | turns_follow_weights                      |
      | lapsed_replicas_are_held_until_the_return |
      | repeats_stay_in_bounds                    |
      | instances_agree_on_readers                |
      | followers_of_a_copy_see_the_store         |

  Scenario Outline: A known-bad <variant> is caught by <name>
    Then the fleet property "<name>" fails for the variant "<variant>"

    Examples:
      | name                                      | variant            |
      | configuration_never_goes_back             | adopts-anything    |
      | lapsed_replicas_are_held_until_the_return | drops-at-once      |
      | lapsed_replicas_are_held_until_the_return | holds-for-ever     |
      | repeats_stay_in_bounds                    | budget-unshared    |

  Scenario Outline: The odd registration <text> names no replica
    Then the registration <text> is not understood

    Examples:
      | text                                                                                                                                            |
      | {}                                                                                                                                              |
      | []                                                                                                                                              |
      | not JSON                                                                                                                                        |
      | {"Service":"s","Address":"10.0.0.1:1","Zone":"a","Slots":2,"State":"leaving","Seq":1}                                                           |
      | {"Service":7,"Address":"10.0.0.1:1","Zone":"a","Slots":2,"State":"ready","Seq":1}                                                               |
      | {"Service":"s","Address":"10.0.0.1","Zone":"a","Slots":2,"State":"ready","Seq":1}                                                               |
      | {"Service":"s","Address":"10.0.0.1:x","Zone":"a","Slots":2,"State":"ready","Seq":1}                                                             |
      | {"Service":"s","Address":"10.0.0.1:1","Zone":"a","Slots":0,"State":"ready","Seq":1}                                                             |
      | {"Service":"s","Address":"10.0.0.1:1","Zone":"a","Slots":"2","State":"ready","Seq":1}                                                           |
      | {"Address":"10.0.0.1:1","Zone":"a","Slots":2,"State":"ready","Seq":1}                                                                           |

  Scenario: A registration as the pages show it is understood
    Then the registration {"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"orkhon-a","Version":"v1","Slots":2,"State":"draining","WarmupLeftMs":1500,"Seq":4,"born":1754219257000,"More":[]} names a replica that leaves

  Scenario: A replica that owes an answer gets no further work
    Given a router that knows 2 replicas alike
    When one of them has owed an answer for 3 times the usual
    Then every one of 50 further picks takes the other
    And after its late answer it is picked again

  Scenario: Requests far apart stay with the replica whose connection is open
    Given a router that knows 3 replicas alike, where a connection costs 25 ms
    When 60 requests are made 3 seconds apart
    Then one replica got them all

  Scenario: A replica whose address another has taken over is not asked on
    Given a router that knows 2 replicas alike
    When a request to one of them finds another in its place
    Then every one of 50 further picks takes the other
    And with the other gone as well nobody is picked until 10 seconds later

  Scenario: An answer goes out in time with the shards that are in
    Given a fan-out to 10 shards of which 0.8 are enough, due after 0.1 seconds
    When 9 of them answer at once
    Then nothing is answered before it is due
    And at 0.1 seconds it is answered with 9 of 10 shards

  Scenario: A fan-out that cannot have enough shards ends at once
    Given a fan-out to 10 shards of which 0.8 are enough, due after 0.1 seconds
    When 3 of them have no replica
    Then it has failed as not run, nothing was sent and nothing is left running

  Scenario: No more replicas than allowed run a shard
    Given a fan-out to 1 shards of which 1 are enough, due after 9 seconds
    When every replica it asks breaks
    Then 2 replicas were asked

  Scenario: The margin before an answer follows how late answers go out
    Then a punctual instance begins 15 ms early, one that is 20 ms late 35 ms

  Scenario: An answer that waits for shards was not held up by the instance
    Given a fan-out to 10 shards of which 0.8 are enough, due after 0.1 seconds
    When 7 of them answer at once
    Then at 0.1 seconds it waits, and the eighth answer ends it

  Scenario: An answer that goes out when it is due has not waited
    Given a fan-out to 10 shards of which 0.8 are enough, due after 0.1 seconds
    When 9 of them answer at once
    Then at 0.1 seconds it goes out without having waited

  Scenario: Hedges are sent later while the budget is scarce
    Given a route whose hedges are answered in 40 ms
    Then with a full budget a hedge is sent after 60 ms, the usual latency of a first attempt
    And with a scarce budget a hedge is sent as late as 40 ms before the answer is due

  Scenario: After hedges that were not answered in time hedges are sent earlier
    Given a route whose hedges are answered in 40 ms
    When half of the hedges are abandoned after 40 ms
    Then with a scarce budget a hedge is sent earlier than before

  Scenario: An attempt sent after the answer was due is not hedged immediately
    Given a route whose hedges are answered in 40 ms
    Then 50 ms after the answer was due a hedge is sent after 0.3 of the objective

  # Each of the three replicas of a shard pauses for 200 ms in every 4.5 s.
  # Retries may add 0.16 of the requests.
  Scenario: A query to 90 shards is nearly complete in time although replicas pause
    Given 400 queries to 90 shards whose replicas pause for 4.4% of the time
    Then with adaptive hedge delays at least 99% of the shards answer in time
    And with a fixed hedge delay of 0.3 of the objective fewer do

  Scenario Outline: A reader that <fails> is asked again after <seconds> s
    Given an instance that follows 2 readers
    When the first of them <fails>
    Then the first is left out for <seconds> seconds and asked again after them

    Examples:
      | fails              | seconds |
      | answers nothing    | 5       |
      | has lost the store | 0.4     |

  Scenario: A replica that was known before its service was can be asked again
    Given a router that knew 3 replicas before their service was configured
    When one of them was asked and broke off
    Then another one is picked, also by a query that began before
    And as many connections are opened to it as are configured

  Scenario Outline: Of replicas that refuse part of their requests few are asked
    Given a router that knows 2 replicas alike
    When 14 requests a second come for 9 seconds and <refusing> refuse 0.6
    Then at most <share> of them are refused
    And once none has refused for 8 seconds, each is asked while the other is busy

    Examples:
      | refusing | share |
      | one      | 0.05  |
      | both     | 0.7   |
