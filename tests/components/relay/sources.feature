Feature: Sources from which an entry host fetches weights
  All hosts must compute the same order of sources. With different orders, the
  origin and the links between data centres carry a version more than once.

  Scenario Outline: <hosts> hosts in each of <places> data centres
    Given relays on <hosts> hosts in each of <places> data centres
    When the relays compute their sources
    Then 1 relay has the origin as its first source
    And <links> relays have a first source in another data centre
    And each relay lists the origin and all other hosts as sources
    And each relay asks hosts after the origin only for pieces that they hold

    Examples:
      | hosts | places | links |
      | 1     | 1      | 0     |
      | 1     | 3      | 2     |
      | 3     | 3      | 2     |
      | 9     | 4      | 3     |

  Scenario Outline: of <hosts> hosts in a data centre none serves more than <most> of 64 pieces
    # The link of one entry host is too narrow for the copies of all agents.
    Given relays on <hosts> hosts in each of 3 data centres
    When the relays compute which host serves each piece
    Then no relay serves more than <most> pieces

    Examples:
      | hosts | most |
      | 1     | 64   |
      | 4     | 64   |
      | 12    | 24   |

  Scenario Outline: a host that <fails> is asked for the next piece <order>
    # A host that waits for the origin itself is as good as the others.
    Given relays on 3 hosts in each of 1 data centres
    And the relay knows the sources of a host that does not lead
    When the relay's first source <fails>
    Then the relay asks that source <order>

    Examples:
      | fails                          | order |
      | refuses the connection         | later |
      | has no piece, asked to wait    | first |
      | has no piece, not asked to wait | later |
      | has had no piece for 2 s       | later |

  Scenario Outline: <after> s after a failure, a host that <role> asks its first source <order>
    # The first source of a host that leads is the origin. It is asked again
    # sooner than others, since no host has the version while it is unavailable.
    Given relays on 3 hosts in each of 1 data centres
    And the relay knows the sources of a host that <role>
    When the relay's first source refuses the connection
    And <after> s pass for the relay
    Then the relay asks that source <order>

    Examples:
      | role          | after | order |
      | leads         | 0     | later |
      | leads         | 0.5   | first |
      | does not lead | 0.5   | later |
      | does not lead | 2.1   | first |

  Scenario Outline: of <hosts> hosts in a data centre <sources> serve pieces
    # A restart of any of them delays every agent of the data centre.
    Given relays on <hosts> hosts in each of 3 data centres
    When the relays compute which host serves each piece
    Then <sources> relays at most of each data centre serve pieces

    Examples:
      | hosts | sources |
      | 1     | 1       |
      | 3     | 1       |
      | 4     | 1       |
      | 12    | 3       |
      | 13    | 4       |

  Scenario: one other host takes over from a failed first host
    Given relays on 3 hosts in each of 3 data centres
    When the relays lose the host that fetches from the origin
    And the relays compute their sources
    Then 1 relay has the origin as its first source
    And 2 relays have a first source in another data centre

  Scenario: a host that knows no others still reaches the origin
    Given relays on 3 hosts in each of 3 data centres
    When a relay that knows no other host computes its sources
    Then each relay lists the origin and all other hosts as sources

  Scenario Outline: <agents> local agents hold the version, piece <index>, <host> host: <first> is asked first
    Given relays on 2 hosts in each of 3 data centres
    When the relay knows <agents> agents that hold piece <index> and asks for host <host>
    Then the relay asks <first> first

    Examples:
      # A version that the data centre holds must not be fetched from another one.
      | agents | index | host  | first      |
      | 0      | 5     | first | other      |
      | 2      | 4     | first | agent 0    |
      | 2      | 5     | first | agent 1    |
      | 2      | -1    | first | other      |
      | 2      | 4     | last  | entry host |

  Scenario Outline: an agent in <place> reported layers <layers> of version <version> <age> s ago, worker <worker>
    Given the relay knows a model of 16 layers
    When the relay receives a report of layers <layers> of version <version> from <place>, <worker>
    Then the relay counts <count> agents with version 1 after <age> s

    Examples:
      | layers | version | place | worker      | age | count |
      | 0-16   | 1       | dc1   | reachable   | 0.5 | 1     |
      | 0-16   | 1       | dc1   | reachable   | 2   | 0     |
      | 0-8    | 1       | dc1   | reachable   | 0.5 | 0     |
      | 4-16   | 1       | dc1   | reachable   | 0.5 | 0     |
      | 0-16   | 2       | dc1   | reachable   | 0.5 | 0     |
      | 0-16   | 1       | dc0   | reachable   | 0.5 | 0     |
      | 0-16   | 1       | dc1   | unreachable | 0.5 | 0     |

  Scenario Outline: a host that <role> and started <age> s ago: version <declared> is declared, an agent holds version <held>
    Given relays on 2 hosts in each of 1 data centres
    And the relay runs on a host that <role> and started <age> s ago
    And the relay knows that version <declared> was declared long ago
    When the relay receives a report of an agent that holds version <held>
    Then the relay <fetches> version <held>

    Examples:
      # The host that serves the version copies it from agents, so that workers
      # that start empty later are served at once.
      | role    | age | declared | held | fetches         |
      | leads   | 4   | 1        | 1    | fetches         |
      | leads   | 4   | 2        | 2    | fetches         |
      | leads   | 4   | 2        | 1    | does not fetch  |
      | leads   | 1   | 1        | 1    | does not fetch  |
      | follows | 4   | 1        | 1    | does not fetch  |

  Scenario Outline: after requests for versions <requested>, version <again> is requested again
    Given relays on 2 hosts in each of 1 data centres
    And the relay runs on a host that leads and started 4 s ago
    And the relay knows that version 1 was declared long ago
    When the relay receives requests for versions <requested>
    And the relay's task for the first of them asks for a job
    And the relay receives a request for version <again>
    Then the relay's task <goes_on>
    And the relay caches versions <held>

    Examples:
      # An evicted version must not be fetched any further, nor started again.
      | requested | again | goes_on | held |
      | 1, 2    | 1     | goes on | 1, 2 |
      | 1, 2, 3 | 1     | ends    | 2, 3 |

  Scenario Outline: an agent <failure> a piece that no host requested
    Given relays on 2 hosts in each of 1 data centres
    And the relay runs on a host that leads and started 4 s ago
    And the relay knows that version 1 was declared long ago
    When the relay receives a report of an agent that holds version 1
    Then the relay's next job fetches the manifest from the origin
    And the relay's next job fetches piece 0 from an agent
    And after the agent <failure> it, the relay's next job fetches <next>

    Examples:
      # A copy for workers that start later must not load the origin.
      | failure  | next          |
      | corrupts | another piece |
      | refuses  | nothing       |

  Scenario: a host that leads fetches pieces from agents, but not the manifest
    Given relays on 2 hosts in each of 1 data centres
    And the relay runs on a host that leads and started 4 s ago
    And the relay knows that version 1 was declared long ago
    When the relay receives a report of an agent that holds version 1
    Then the relay's next job fetches the manifest from the origin
    And the relay's next job fetches piece 0 from an agent

  Scenario Outline: a relay whose manifest has <wrong> gets intact pieces: complete after <reads> manifests
    # Without another manifest the relay would fetch the piece for ever, and so
    # would each agent that received the manifest from it.
    Given relays on 1 hosts in each of 1 data centres
    And the relay has fetched a manifest with <wrong>
    When the relay's sources send intact pieces and next <sent>
    Then the relay has a complete version after <reads> manifests
    And the relay asked at most 3 times for a piece before each manifest

    Examples:
      | wrong           | sent                    | reads |
      | nothing         | the right one           | 1     |
      | digest 5        | the right one           | 2     |
      | digests 5 and 9 | the right one           | 2     |
      | digest 5        | digest 6, the right one | 3     |
      | 96 layers       | the right one           | 2     |
      | 63 digests      | the right one           | 2     |
      # What is read twice alike is right: the desired state may be older.
      | 96 layers       | 96 layers               | 2     |

  Scenario Outline: <after> s after a relay read its manifest, a requester doubts <which>: it is <answer>
    Given relays on 1 hosts in each of 1 data centres
    And the relay has fetched a manifest with nothing
    When a requester of the relay doubts <which>, <after> s later
    Then the relay's requester <answer>

    Examples:
      # A requester that doubts again and again must not load the origin.
      | which         | after | answer                           |
      | the manifest  | 2     | waits until it is read again     |
      | the manifest  | 0.5   | receives the manifest at once    |
      | an older one  | 2     | receives the manifest at once    |
      | nothing       | 2     | receives the manifest at once    |
