Feature: Members decisions
  The state of a host after reports from heartbeats, from other entry hosts
  and from the platform's host list, in any order.

  Scenario Outline: members determines the state of a host from reports
    # Guards against requests to a leaving host, and against a healthy host
    # that stays unused because a delayed or outdated report replaced a newer
    # one. Reports are: beat and gossip, a heartbeat and a pulled record with
    # incarnation/heartbeat count and state; list, the state in the host
    # list; silence and pause, seconds without reports and seconds for which
    # this process is suspended.
    When members applies <reports>
    Then members considers the host <state>

    Examples: heartbeats and silence
      | reports                                              | state     |
      | beat 5/1 live                                        | live      |
      | beat 5/1 switching                                   | switching |
      | beat 5/1 live; silence 3.4                           | live      |
      | beat 5/1 live; silence 4                             | suspected |
      | beat 5/1 live; silence 9; beat 5/2 live              | live      |
      | beat 5/1 live; pause 60                              | live      |
      | beat 5/1 live; pause 60; silence 4                   | suspected |
      | beat 5/2 switching; beat 5/1 live                    | switching |
      | gossip 5/1 live; silence 30                          | live      |

    Examples: leaving
      | reports                                              | state     |
      | beat 5/1 leaving; beat 5/2 live                      | leaving   |
      | beat 5/2 live; beat 5/1 leaving                      | leaving   |
      | beat 5/1 leaving; gossip 5/9 live                    | leaving   |
      | gossip 5/1 leaving; beat 5/9 live                    | leaving   |
      | beat 5/9 live; gossip 5/1 leaving                    | leaving   |
      | beat 5/1 leaving; list live                          | leaving   |
      | list live; beat 5/1 live; list leaving               | leaving   |
      | list live; list leaving; list live                   | leaving   |
      | list live; list leaving; silence 9; list live        | leaving   |
      | beat 5/1 leaving; list live; silence 30              | leaving   |
      | beat 5/1 leaving; gossip 4/9 live                    | leaving   |
      | beat 5/1 leaving; beat 6/1 live                      | live      |
      | beat 5/1 leaving; gossip 6/1 live                    | live      |
      | beat 6/1 live; gossip 5/9 leaving                    | live      |
      | beat 6/1 live; beat 5/9 leaving                      | live      |

    Examples: a host list that is updated later than a restart
      | reports                                              | state     |
      | list live; beat 5/1 live; list leaving; beat 6/1 live | leaving  |
      | list live; beat 5/1 live; list leaving; beat 6/1 live; list live | live |
      | list live; beat 5/1 live; list leaving; beat 6/1 live; list leaving; list live | live |
      | list leaving; beat 6/1 live                          | leaving   |
      | list leaving; beat 6/1 live; list live               | live      |

    Examples: other entry hosts
      | reports                                              | state     |
      | beat 5/9 live; gossip 5/8 suspected                  | live      |
      | beat 5/9 live; gossip 5/9 suspected                  | suspected |
      | beat 5/9 live; gossip 5/9 suspected; beat 5/10 live  | live      |
      | beat 5/9 live; silence 9; gossip 5/10 live           | live      |
      | beat 5/9 live; silence 9; gossip 5/10 live; silence 9 | live     |
      | list live; gossip 0/0 suspected                      | live      |

    Examples: removed hosts
      | reports                                              | state     |
      | beat 5/1 live; list other; silence 50                | suspected |
      | beat 5/1 live; list other; silence 70                | absent    |
      | list live; beat 5/1 live; silence 900                | suspected |
      | list live; list other                                | suspected |
      | list live; list other; silence 70                    | absent    |
      | list live; list other; list live                     | live      |
      | beat 5/1 live; list other; silence 70; gossip 5/9 live | absent  |
      | beat 5/1 live; list other; silence 70; gossip 6/1 live | live    |
      | beat 5/1 live; list other; silence 70; beat 5/9 live | live      |
      | gossip 5/1 live; list other; silence 500             | live      |
      | gossip 5/1 live; list other; silence 700             | absent    |

  Scenario Outline: members returns only changed hosts to a pull
    # Guards against the whole table in each reply after a partition, and
    # against missing hosts because the peer sent the change number of another
    # process's table.
    Given members with a table of 1300 hosts
    When members receives a pull from <position> after <changes> changes
    Then members returns <hosts> hosts
    And members returns <all> hosts over all pulls

    Examples:
      | position        | changes | hosts | all  |
      | the start       | 0       | 512   | 1300 |
      | the end         | 0       | 0     | 0    |
      | the end         | 3       | 3     | 3    |
      | the end         | 700     | 512   | 700  |
      | an equal table  | 0       | 0     | 0    |
      | another table   | 0       | 512   | 1300 |
      | beyond the end  | 0       | 512   | 1300 |

  Scenario Outline: members propagates a change by pulls
    # Guards against a selection of pull partners that leaves out entry hosts,
    # so that their changes never reach the others.
    Given members in <centres> data centres with <entries> entry hosts each
    When members of one entry host receives a heartbeat of a leaving host
    Then members of all entry hosts have its state within <rounds> rounds

    Examples:
      | centres | entries | rounds |
      | 1       | 1       | 0      |
      | 1       | 2       | 1      |
      | 1       | 9       | 4      |
      | 1       | 26      | 5      |
      | 3       | 3       | 6      |
      | 6       | 8       | 9      |

  Scenario Outline: members suspects a host that fails with its receivers
    # Guards against a failed host that stays live: all entry hosts that
    # received its heartbeats fail with it, and none of the others monitors
    # the host.
    Given members in 1 data centres with <entries> entry hosts each
    And members with an agent that sent heartbeats
    When members agent and the receivers of its heartbeats are killed together
    Then members of the others suspect the agent within 14 rounds

    Examples:
      | entries |
      | 3       |
      | 4       |
      | 9       |

  Scenario: members agrees with the naive version under random faults
    # Guards against entry hosts whose tables still differ after partitions,
    # suspensions and restarts have ended, and against a leaving host that
    # becomes live again.
    Then members agrees with the naive version over 100 random runs
