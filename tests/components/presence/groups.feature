Feature: Hellos, load reports and switch groups
  If all workers of a data centre switched to a new version at once, none would
  be left for requests. They switch in groups: a worker waits until those of
  earlier groups serve the new version. Hellos and load reports carry what this
  needs, in datagrams that may be lost, reordered or malformed.

  Scenario Outline: worker <worker> of <count> is in group <group>, after <earlier> workers
    When presence divides <count> workers into switch groups
    Then presence puts worker <worker> in group <group>, after <earlier> workers

    Examples:
      | count | worker | group | earlier |
      | 1     | 0      | 0     | 0       |
      | 2     | 0      | 0     | 0       |
      | 2     | 1      | 1     | 1       |
      | 3     | 1      | 1     | 1       |
      | 3     | 2      | 2     | 2       |
      | 6     | 5      | 2     | 4       |
      | 4     | 3      | 1     | 2       |

  Scenario Outline: the turns of <count> workers are those that a search for each worker finds
    # The turns of all workers are computed at once. A search for each of 60
    # workers, several times a second, took a part of each host's processor.
    When presence computes the turns of <count> workers in 100 worlds
    Then presence computes the same turns for one worker at a time

    Examples:
      | count |
      | 1     |
      | 2     |
      | 7     |
      | 40    |

  Scenario Outline: of 2 workers in earlier groups that are <state>, <outdated> count as outdated
    When presence counts the outdated among 2 workers that are <state>
    Then presence lets the next group wait for <outdated>

    Examples:
      | state       | outdated |
      | older       | 2        |
      | empty       | 0        |
      | loading     | 0        |
      | switched    | 0        |
      | unreachable | 0        |

  Scenario Outline: a report with count <count> after one with count 100 is <order>
    When presence receives a report with count <count> after count 100
    Then presence considers the report <order>

    Examples:
      | count | order |
      | 101   | newer |
      | 99    | older |
      | 1     | newer |

  Scenario Outline: a datagram that is <content> is <result>
    When presence decodes a datagram that is <content>
    Then the datagram is <result>

    Examples:
      | content      | result   |
      | a report     | decoded  |
      | a hello      | decoded  |
      | truncated    | rejected |
      | random bytes | rejected |
      | empty        | rejected |

  Scenario Outline: a service whose routes are <routes> <may> be interrupted for a switch
    When presence finds the resumable services among routes that are <routes>
    Then presence decides that requests <may> be interrupted

    Examples:
      | routes                    | may     |
      | resumable                 | may     |
      | idempotent                | may     |
      | resumable, non_idempotent | may not |
      | stream                    | may not |
      | without retries           | may not |

  Scenario Outline: a version known for 1 s is sent as known for <known> s after a suspension of <suspended> s
    # With an age that leaves out the suspension, the receiver would let
    # requests begin on the older version for too long.
    When presence sends a version known for 1 s after a suspension of <suspended> s
    Then presence sends that the version is known for <known> s

    Examples:
      | suspended | known |
      | 0         | 1     |
      | 4         | 5     |

  Scenario Outline: with <local> local and <remote> remote entry hosts, a report goes to <receivers> and all get one within <reports>
    # If every agent sent each report to every host, the load would grow with
    # the product of their numbers.
    When presence sends reports to <local> local and <remote> remote entry hosts
    Then presence sends a report to at most <receivers> entry hosts
    And presence reaches every entry host within <reports> reports

    Examples:
      | local | remote | receivers | reports |
      | 1     | 0      | 1         | 1       |
      | 3     | 4      | 4         | 4       |
      | 13    | 25     | 10        | 7       |

  Scenario Outline: a <kind> with <field> = <content> is <fate>
    # A message is kept and used at each tick. One that can't be used would
    # end the hellos to all hosts, not only to its sender.
    When presence receives a <kind> with <field> = <content>
    Then presence <fate> the message

    Examples:
      | kind   | field        | content         | fate  |
      | hello  | peer_address | 10.0.0.1:7700   | uses  |
      | hello  | peer_address | 10.0.0.1:65535  | uses  |
      | hello  | peer_address | 10.0.0.1:65536  | drops |
      | hello  | peer_address | 10.0.0.1:0      | drops |
      | hello  | peer_address | 10.0.0.1        | drops |
      | hello  | peer_address | host.test:7700  | drops |
      | hello  | peer_address | nothing         | drops |
      | hello  | host_id      | nothing         | drops |
      | hello  | targets      | nothing         | drops |
      | report | address      | 10.0.0.1:65536  | drops |
      | report | peer_address | nothing         | drops |
      | report | active       | nothing         | drops |
      # An agent of an earlier version does not send this field.
      | report | leaving      | nothing         | uses  |

  Scenario Outline: with <hosts> entry hosts and <agents> agents in each of <centres> data centres, a host sends at most <most> hellos a second
    # With a hello from each host to each other in every period, the datagrams
    # of a fleet grow with the square of its size.
    When presence schedules the hellos of one of <hosts> entry hosts and <agents> agents in each of <centres> data centres
    Then presence sends at most <most> hellos a second
    And presence sends each host a hello within the period that it names
    And an agent gets a hello from an entry host of its data centre every 0.3 s

    Examples:
      | hosts | agents | centres | most |
      | 3     | 4      | 3       | 40   |
      | 15    | 9      | 3       | 70   |
      | 20    | 12     | 5       | 75   |
      | 26    | 120    | 15      | 210  |

  Scenario Outline: a host that named a period of <period> s and is silent for <silent> s is <state>
    When presence has heard a host with a period of <period> s, <silent> s ago
    Then presence considers the host <state>

    Examples:
      | period | silent | state  |
      | 0      | 2.4    | known  |
      | 0      | 2.6    | silent |
      | 0.9    | 2.4    | known  |
      | 0.9    | 2.6    | silent |
      | 1.8    | 4.9    | known  |
      | 1.8    | 5.0    | silent |

  Scenario Outline: a socket whose reads <outcome> is read at most <most> times in 0.1 s
    # An error that lasts must not keep the processor busy.
    When presence receives datagrams from a socket whose reads <outcome>
    Then presence reads the socket at most <most> times in 0.1 s

    Examples:
      | outcome                     | most |
      | fail                        | 12   |
      | return bytes that are noise | 1000 |
