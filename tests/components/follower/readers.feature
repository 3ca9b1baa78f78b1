Feature: Which hosts read the operator's records from the store
  If every host read each desired state from the store, or fetched it from
  another host as well, a series of changes would congest the links that
  requests and weights need. So a few hosts of each data centre, the readers,
  read the store, and the others fetch the state from them.

  Scenario Outline: of <count> hosts in each of 3 data centres, <readers> read in each
    Given follower runs on every one of <count> hosts in each of 3 data centres
    Then follower reads the store on <readers> hosts of each data centre

    Examples:
      | count | readers |
      | 1     | 1       |
      | 3     | 2       |
      | 13    | 2       |

  Scenario: a host without other hosts and without a desired state reads the store
    Given follower runs on a host that knows no other host
    Then follower reads the store

  Scenario Outline: a host that <role> and <state> <fetches> from <source> after lacking a state for <lacking> s
    # Without the delays, every host fetches each desired state from any host
    # that has it earlier.
    Given follower runs on a host that <role> and <state>
    When follower has lacked a desired state for <lacking> s that <source> has
    Then follower <fetches> it from there

    Examples:
      | role          | state           | source               | lacking | fetches        |
      | reads         | is healthy      | its reader           | 0       | does not fetch |
      | reads         | is healthy      | another data centre  | 0       | does not fetch |
      | reads         | is healthy      | its reader           | 0.6     | fetches        |
      | reads         | failed to read  | another data centre  | 0       | fetches        |
      | does not read | is healthy      | its reader           | 0       | fetches        |
      | does not read | is healthy      | another data centre  | 0       | does not fetch |
      | does not read | is healthy      | another reader       | 0       | does not fetch |
      | does not read | is healthy      | another reader       | 0.6     | fetches        |
      # The hosts of this data centre may share one copy from another one.
      | does not read | is healthy      | another data centre  | 0.6     | does not fetch |
      | does not read | is healthy      | another data centre  | 1.1     | fetches        |
      | does not read | is up to date   | its reader           | 0       | does not fetch |

  Scenario Outline: of 5 hosts per data centre that lack a state for <lacking> s, <readers> read the store
    # Readers may have stopped or be cut off. Hosts that all turned to the store
    # at once would congest the link to it.
    Given follower runs on every one of 5 hosts in each of 3 data centres
    When follower has lacked a desired state for <lacking> s on every host
    Then follower reads the store on <readers> hosts of each data centre

    Examples:
      | lacking | readers |
      | 1.4     | 2       |
      | 1.6     | 3       |
      | 2.1     | 4       |
      | 2.6     | 5       |

  Scenario Outline: of 2 hosts, <asked> asked before, <next> is asked next
    # A host that does not respond must not be asked again while another one
    # has the state too.
    Given follower runs on a host that does not read and is healthy
    When follower has lacked a desired state for 1.1 s that 2 local hosts have
    And follower asked the first of them <first> s and the second <second> s ago
    Then follower asks <next> next

    Examples:
      | asked    | first | second | next       |
      | once     | 0.6   | 9.0    | the second |
      | twice    | 2.0   | 0.6    | the first  |
      | recently | 0.1   | 9.0    | no host    |

  Scenario Outline: <pause> s after a fetch, the next one has to wait for <left> s
    Given follower runs on a host that does not read and is healthy
    When follower fetched a desired state <pause> s ago
    Then follower waits for <left> s before it fetches again

    Examples:
      | pause | left |
      | 0.1   | 0.4  |
      | 0.6   | 0.0  |

  Scenario Outline: with changes every 0.26 s that arrive <late> s late, a host <fetches> from another data centre
    # Each single change arrives in time, so the host lacks nothing for long.
    Given follower runs on a host that does not read and is healthy
    When follower receives hellos of 20 changes, and each change <late> s later
    Then follower <fetches> from another data centre

    Examples:
      | late | fetches        |
      | 0.4  | does not fetch |
      | 0.9  | does not fetch |
      | 1.2  | fetches        |

  Scenario Outline: of snapshots at offsets <first> and <second>, that of <cached> is cached
    # A reader sends its cached records to other hosts, so these must not get
    # older.
    When follower caches a snapshot at offset <first> and one at <second>
    Then follower sends the snapshot of offset <cached>

    Examples:
      | first | second | cached |
      | 99    | 100    | 100    |
      | 100   | 99     | 100    |

  Scenario Outline: a reader whose reads arrive late lacks no state for over 2 s during <changes> changes
    # Hosts of its data centre respond at once, those of others too late. A host
    # that asks the others first has an old state while its neighbours have the
    # new one.
    Given follower runs on a host that reads and is healthy
    When follower reads each of <changes> changes, one every <gap> s, too late
    Then follower has lacked no state for over 2 s

    Examples:
      | changes | gap  |
      | 10      | 1.6  |
      | 40      | 1.6  |
      | 40      | 0.26 |
