Feature: The list of upstreams within a data centre
  Each worker writes its entry about once a second. If every host read all
  entries from the store, hundreds of hosts would fill the links to it. A few
  hosts of a data centre read the store, and the others get changes from them.

  Scenario Outline: of <count> hosts in each of 3 data centres, <reading> read the list from the store
    Given follower runs on every one of <count> hosts in each of 3 data centres
    Then follower reads the list from the store on <reading> hosts of each data centre
    And follower's other hosts ask 2 hosts of their data centre, each first for about half of them

    Examples:
      | count | reading |
      | 1     | 1       |
      | 4     | 4       |
      | 5     | 2       |
      | 20    | 2       |

  Scenario Outline: a host that copies the list through <events> has the list of its reader
    When follower's reader and a host that copies its list go through <events> in 60 worlds
    Then follower's host has the list of the reader after each copy

    Examples:
      | events                                  |
      | changes                                 |
      | changes and removals                    |
      | changes, removals and reader restarts   |
      # The reader has forgotten removals that the host has not heard of.
      | changes and more removals than it keeps |

  Scenario Outline: entries that are written again <written> cause <changes> changes
    When follower's reader reads the same entries 10 times, <written>
    Then follower's reader has recorded <changes> changes

    Examples:
      | written                 | changes |
      | unchanged               | 3       |
      | with another sequence   | 3       |
      | with one worker leaving | 4       |

  Scenario Outline: a host whose reader <state> gets the list from <source> within <limit> s
    # The store must be read before a worker that leaves may get no more
    # requests.
    Given follower runs on a host whose reader <state>
    When follower's host reads the list of upstreams twice
    Then follower's host got it from <source> within <limit> s
    And follower's host has the upstreams a, b and c

    Examples:
      | state                         | source     | limit |
      | shares its list               | its reader | 0.8   |
      | restarts between the reads    | its reader | 0.8   |
      | read the store too long ago   | the store  | 0.3   |
      # What it read is as old as the start of the read.
      | took 1.5 s to read the store  | the store  | 0.3   |
      | does not respond              | the store  | 1.2   |
      | refuses connections           | the store  | 0.3   |
      | sends malformed records       | the store  | 0.3   |

  Scenario Outline: a host whose reader <stops> turns to the store within <limit> s where a worker may get no requests <drain> s after it leaves
    # A worker may have left just after the reader's last read. The time of the
    # host's own read, and of requests under way, is left of the limit.
    Given follower runs with a drain limit of <drain> s on a host whose reader shares its list
    When follower's reader <stops> and the host goes on reading the list
    Then follower's host has read the store within <limit> s

    Examples:
      | stops                                        | drain | limit |
      | no longer reads the store                    | 3.0   | 2.5   |
      | no longer reads the store, and hangs after 1 s | 3.0 | 2.5   |
      | no longer reads the store, and hangs after 1.9 s | 3.0 | 2.5 |
      | no longer reads the store                    | 4.0   | 3.5   |

  Scenario Outline: with a drain limit of <drain> s, <reading> of 13 hosts of a data centre read the list from the store
    # Through another host, a change would arrive too late for a short limit.
    Given follower runs on every one of 13 hosts in each of 3 data centres
    And follower's hosts have a drain limit of <drain> s
    Then follower reads the list from the store on <reading> hosts of each data centre

    Examples:
      | drain | reading |
      | 2.0   | 13      |
      | 3.0   | 2       |

  Scenario Outline: a worker that leaves, as a reader hears <way>, leaves in the list that it shares
    # The next read of the store returns only what has changed since.
    Given follower runs on a host whose reader shares its list
    When follower's reader hears <way> that worker b leaves, and reads the store with no changes
    Then follower's host hears from its reader that worker b leaves

    Examples:
      | way                  |
      | from the store       |
      | through another host |

  Scenario: a change reaches a host that waits for it
    Given follower runs on a host whose reader shares its list
    When follower's host waits for a change and worker b leaves
    Then follower's host has heard of it within 0.2 s

  Scenario Outline: with <others> other entry hosts their records are read every <pause> s
    # All hosts together read them about twice a second at most.
    Then follower reads the records of entry hosts every <pause> s with <others> others

    Examples:
      | others | pause |
      | 0      | 6.0   |
      | 8      | 6.0   |
      | 45     | 22.5  |
      | 389    | 194.5 |
