Feature: Members decisions
  What a host is taken for after reports from heartbeats, from other entry
  hosts and from the platform's host list, in any order.

  Scenario Outline: members judges a host after reports
    # Guards against work for a leaving host, and against a healthy host that
    # stays out of use because of a late or lagging report.
    When members hears <reports>
    Then members takes the host for <state>

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

    Examples: a host list that lags behind a restart
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

    Examples: vanished hosts
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

  Scenario Outline: members answers a pull with changed hosts only
    # Guards against a full table in each answer after a partition, and
    # against a position that another process handed out.
    Given members of a table with 1300 hosts
    When members is pulled from <position> after <changes> changes
    Then members answers with <hosts> hosts
    And members answers with <all> hosts in the end

    Examples:
      | position        | changes | hosts | all  |
      | the start       | 0       | 512   | 1300 |
      | the end         | 0       | 0     | 0    |
      | the end         | 3       | 3     | 3    |
      | the end         | 700     | 512   | 700  |
      | an equal table  | 0       | 0     | 0    |
      | another table   | 0       | 512   | 1300 |
      | beyond the end  | 0       | 512   | 1300 |

  Scenario Outline: members spreads a change by pulls
    # Guards against entry hosts that nobody pulls from.
    Given members of <centres> data centres with <entries> entry hosts each
    When members of one entry host learn of a leaving host
    Then members of all entry hosts know it within <rounds> rounds

    Examples:
      | centres | entries | rounds |
      | 1       | 1       | 0      |
      | 1       | 2       | 1      |
      | 1       | 9       | 4      |
      | 1       | 26      | 5      |
      | 3       | 3       | 6      |
      | 6       | 8       | 9      |

  Scenario: members agrees with the naive version in a random world
    # Guards against entry hosts that disagree after partitions, pauses and
    # restarts have ended, and against a leaving host that comes back.
    Then members agrees with the naive version over 100 random worlds
