Feature: Decisions of the installer
  A worker must not be ordered to load a version that is incomplete or whose
  staged pieces are unchecked, since they may be corrupt. An empty worker must
  not wait for its turn. Not all workers may switch at once, since a worker
  serves nothing while it loads.

  Scenario Outline: a worker that is <worker>, <pieces> of 4 pieces, turn <turn>: <step>
    Given an installer whose worker is <worker>, with <pieces> of 4 pieces and turn <turn>
    When the installer decides after <after> s
    Then the installer's next step is <step>

    Examples:
      | worker          | pieces | turn | after | step   |
      | empty           | 4      | 0    | 1     | start  |
      | empty           | 4      | 2    | 1     | start  |
      | unchecked       | 4      | 0    | 1     | check  |
      | checked long ago | 4     | 0    | 1     | check  |
      | older, unchecked | 4     | 2    | 1     | check  |
      | empty           | 3      | 0    | 1     | wait   |
      | unscanned       | 0      | 0    | 1     | scan   |
      | unstaged        | 3      | 0    | 1     | stage  |
      | unstaged        | 4      | 0    | 1     | stage  |
      | older           | 4      | 0    | 1     | start  |
      | older           | 4      | 2    | 1     | wait   |
      | older           | 4      | 2    | 6.5   | start  |
      | installed       | 4      | 0    | 1     | wait   |
      | newer           | 4      | 0    | 1     | wait   |
      | unreachable     | 4      | 0    | 1     | wait   |
      | half loaded     | 4      | 2    | 1     | start  |
      | ordered         | 4      | 0    | 1     | wait   |
      | ordered without effect | 4      | 0    | 7.5   | start  |
      | ordered without effect | 4      | 0    | 9     | check  |
      | without a manifest | 0   | 0    | 1     | wait   |

  Scenario Outline: a worker that is <worker> drains <active> requests for <drained> s: <step>
    Given an installer whose worker is <worker>, with 4 of 4 pieces and turn <turn>
    When the installer drains a worker with <active> requests for <drained> s
    Then the installer's next step is <step>

    Examples:
      # An interrupted stream has its prompt processed again at another worker.
      | worker | turn | active | drained | step   |
      | older  | 0    | 5      | 0.5     | wait   |
      | older  | 0    | 0      | 0.1     | start  |
      | older  | 0    | 5      | 0.9     | start  |
      | older  | 1    | 0      | 0.9     | wait   |
      | empty  | 0    | 0      | 0       | start  |

  Scenario Outline: a check that took <took> s and ended <after> s ago: <step>
    Given an installer whose worker is empty, with 4 of 4 pieces and turn 0
    When the installer ended a check that took <took> s and <after> s pass
    Then the installer's next step is <step>

    Examples:
      # On a slow host a check may take longer than its result stays valid.
      | took | after | step   |
      | 0.1  | 0.1   | start  |
      | 0.1  | 2.0   | check  |
      | 1.5  | 0.6   | check  |
      | 2.5  | 0.1   | start  |
      | 2.5  | 0.6   | check  |
      # A host that froze during the check, or after it, must not load pieces
      # that may have become corrupt over 3 s ago.
      | 2.7  | 0.2   | check  |
      | 3.9  | 0     | check  |
      | 3.9  | 0.1   | check  |

  Scenario Outline: each piece takes <read> s to read: <orders> load orders
    # Guards against a worker that is loaded with pieces that were read too
    # long ago, and against one that is never loaded since checks take longer
    # than their results stay valid.
    Given an installer whose worker is <worker>, with 4 of 4 pieces and turn 0
    When the installer loads a worker on which each piece takes <read> s to read
    Then the installer gave <orders> load orders within <within> s
    And each load order came at most 2.8 s after the start of its check

    Examples:
      | worker      | read | orders | within |
      | empty       | 0.01 | 1      | 1      |
      | empty       | 0.6  | 1      | 3      |
      | empty       | 1    | 4      | 14     |
      | empty       | 2    | 8      | 34     |
      | half loaded | 1    | 4      | 14     |

  Scenario: a load order is not sent after its time
    # The host may freeze, or all connections be in use, between the decision
    # and the order.
    Given an installer whose worker is empty, with 4 of 4 pieces and turn 0
    When the installer ended a check that took 1 s and 0.5 s pass
    Then the installer's load order is to be sent within 1.3 s

  Scenario Outline: layers <parts> of the version are reported: <end> of them count
    # A worker that was loaded in parts may report one range of layers or more.
    When the installer receives a report of layers <parts>
    Then the installer counts layers <start> to <end>

    Examples:
      | parts       | start | end |
      | 0-16        | 0     | 16  |
      | 0-8 8-16    | 0     | 16  |
      | 8-16 0-8    | 0     | 16  |
      | 0-4 8-16    | 8     | 16  |
      | 4-8 8-16    | 4     | 16  |

  Scenario Outline: layers <start> to <end> consist of pieces <first> to <last> of <pieces>
    When the installer divides <pieces> pieces among 16 layers
    Then the installer finds that layers <start> to <end> consist of pieces <first> to <last>

    Examples:
      | pieces | start | end | first | last |
      | 64     | 0     | 16  | 0     | 63   |
      | 64     | 4     | 8   | 16    | 31   |
      | 4      | 4     | 8   | 1     | 1    |
      # Neighbouring layers share a piece if the numbers do not divide.
      | 24     | 0     | 1   | 0     | 1    |
      | 24     | 1     | 2   | 1     | 2    |

  Scenario Outline: version 3 with <left> s left <relation> version 2, which has <pieces> of 4 pieces after <after> s in group <group>
    Given an installer whose worker is <worker>, with <pieces> of 4 pieces and turn 0
    When the installer in group <group> receives version 3 after <after> s with <left> s left for it
    Then the installer <relation> the current version

    Examples:
      # If version 2 is skipped, no version may serve between the deadline that
      # it sets for version 1 and the arrival of version 3. If it is finished,
      # too little time may be left for version 3.
      | worker    | pieces | after | left  | group | relation |
      | older     | 0      | 1     | 6.2   | 1     | replaces |
      | older     | 1      | 1     | 6.2   | 1     | replaces |
      | older     | 2      | 2     | 6.2   | 1     | finishes |
      | older     | 2      | 2     | 5.9   | 1     | replaces |
      | older     | 3      | 3     | 6.2   | 1     | finishes |
      | older     | 4      | 4     | 6.2   | 1     | finishes |
      | older     | 4      | 4     | 3.9   | 1     | finishes |
      | installed | 4      | 4     | 6.2   | 1     | replaces |
      # The origin may become unavailable before it delivers version 3.
      | older     | 0      | 1     | 6.2   | 0     | replaces |
      | without a manifest | 0 | 1  | 6.2   | 0     | replaces |
      | without a manifest | 0 | 1  | 6.2   | 1     | replaces |
      | older     | 1      | 1     | 6.2   | 0     | finishes |
      | older     | 1      | 2     | 6.2   | 0     | replaces |

  Scenario Outline: version 2 is <state>, version <other> is deferred: version <version> is fetched
    Given an installer whose worker is older, with <pieces> of 4 pieces and turn 1
    When the installer has deferred version <other>
    Then the installer fetches pieces of version <version>

    Examples:
      # The link must not be idle while a complete version waits for its turn.
      | state       | pieces | other  | version |
      | complete    | 4      | 3      | 3       |
      | incomplete  | 3      | 3      | 2       |
      | complete    | 4      | 1      | 2       |

  Scenario Outline: no piece has arrived for <silent> s and an older version is <state>
    Given an installer whose worker is older, with 1 of 4 pieces and turn 0
    When the installer has received no piece for <silent> s and deferred a version that is <state>
    Then the installer switches to version <version>

    Examples:
      | silent | state                       | version |
      | 0.5    | complete                    | none    |
      | 1.5    | complete                    | 2       |
      | 1.5    | complete, near its deadline | none    |
      | 1.5    | incomplete                  | none    |
      | 1.5    | without a manifest          | none    |
      | 1.5    | already loaded              | none    |

  Scenario Outline: version 2 is complete, version 3 was declared <third> s ago and version 4 <ago> s ago: <version> is selected
    # The next newer version sets the deadline of a version, not the newest one.
    Given an installer whose worker is older, with 1 of 4 pieces and turn 0
    When the installer has version 2 complete, version 3 declared <third> s ago and version 4 <ago> s ago
    Then the installer switches to version <version>

    Examples:
      | third | ago | version |
      | 1.5   | 0.9 | none    |
      | 6.9   | 0.9 | 4       |

  Scenario: a complete version is replaced by a newer complete one
    Given an installer whose worker is older, with 1 of 4 pieces and turn 0
    When the installer has versions 2 and 3 complete
    Then the installer switches to version 3

  Scenario: the transfer time is estimated although no piece was fetched
    # Pieces that were found at the worker give no transfer time, so a default
    # is used; otherwise the version would not count as worth loading.
    Given an installer whose worker is older, with 3 of 4 pieces and turn 0
    When the installer found all its pieces staged at the worker
    Then the installer expects the last piece within 0.07 s

  Scenario Outline: content that is <property> is found <state>
    When the installer checks content that is <property>
    Then the installer finds it <state>

    Examples:
      | property | state      |
      | right    | intact     |
      | corrupt  | not intact |
      | missing  | not intact |

  Scenario Outline: a worker that is <worker>, with <pieces> of 4 pieces after <after> s, is reported as <state>
    Given an installer whose worker is <worker>, with <pieces> of 4 pieces and turn <turn>
    When the installer decides after <after> s
    Then the installer reports its worker as <state>

    Examples:
      | worker    | pieces | turn | after | state     |
      | older     | 1      | 0    | 1     | serving   |
      | older     | 3      | 0    | 1     | switching |
      | older     | 4      | 0    | 1     | switching |
      | older     | 4      | 2    | 1     | serving   |
      | ordered   | 4      | 2    | 1     | switching |
      | installed | 4      | 0    | 1     | serving   |

  Scenario Outline: staged pieces count as <checked> after a suspension of <suspended> s
    Given an installer that has 30 pieces of version 2 when it receives version 3
    When the installer's host was suspended for <suspended> s after a check
    Then the installer's staged pieces count as <checked>

    Examples:
      # Pieces may become corrupt during a suspension, in which the monotonic
      # clock stands still.
      | suspended | checked   |
      | 0         | checked   |
      | 2         | unchecked |

  Scenario Outline: after a suspension of <suspended> s <when> a check, the age of the check is <age> s
    # The monotonic clock stands still in a suspension, and pieces that were read
    # before it may have become corrupt.
    Given an installer that has 30 pieces of version 2 when it receives version 3
    When the installer's host is suspended for <suspended> s <when> a check
    Then the installer counts the check as <age> s old

    Examples:
      | suspended | when   | age |
      | 0         | during | 0   |
      | 4         | during | 4   |

  Scenario Outline: copying pieces <copied> of version 3 <ends>: <staged> of 30 pieces of version 2 count as staged
    # A copy that failed may have overwritten staged pieces of the other version,
    # with which the worker would then be loaded.
    Given an installer that has 30 pieces of version 2 when it receives version 3
    When the installer copied pieces <copied> of version 3, which <ends>
    Then the installer counts <staged> pieces of version 2 as staged
    And the installer's staged pieces count as unchecked

    Examples:
      | copied | ends      | staged |
      | 0-9    | succeeded | 20     |
      | 0-9    | failed    | 20     |
      | 0-63   | failed    | 0      |

  Scenario Outline: a manifest with <wrong>, of which <again> is sent again: complete after <fetches> fetches
    # No digest covers the manifest. An agent that believed a wrong one for good
    # would never have a complete version.
    Given an installer that received a manifest with <wrong>
    When the installer's entry hosts send intact pieces and <again> on doubt
    Then the installer has a complete version after <fetches> fetches
    And the installer doubted the manifest <doubts> times
    And the installer's pauses after corrupt pieces grow

    Examples:
      # 65 fetches are needed without a fault.
      | wrong            | again               | fetches | doubts |
      | nothing          | the right one       | 65      | 0      |
      | digest 5         | the right one       | 68      | 1      |
      | digests 5 and 9  | the right one       | 69      | 1      |
      | one digest less  | the right one       | never   | 0      |
      | digest 5         | the same one        | never   | 5      |
      # One that is wrong elsewhere drops the piece that does not match it.
      | digest 5         | one with digest 6   | 72      | 2      |
      | nothing readable | the right one       | 66      | 0      |

  Scenario Outline: a doubted manifest that <fails> is fetched again only after other attempts
    # The piece may be at fault, and another entry host may have it.
    Given an installer that received a manifest with digest 5
    When the installer's entry hosts send intact pieces and a manifest that <fails> on doubt
    Then the installer asked for piece 5 at least <times> times

    Examples:
      | fails       | times |
      | is not sent | 6     |

  Scenario: the older version is fetched while the entry host lacks the newer one
    # An idle link shortens the time in which a version can be served.
    Given an installer that has 30 pieces of version 2 when it receives version 3
    When the installer's entry host has no piece yet
    Then the installer next fetches a piece of version 2

  Scenario Outline: an entry host that <fails> is asked <order> for the next piece
    # An entry host that waits for the origin itself is as good as the others.
    Given an installer that has 30 pieces of version 2 when it receives version 3
    And the installer knows a second entry host
    When the installer's entry host <fails>
    Then the installer asks that host <order>

    Examples: a host that failed
      | fails            | order |
      | does not respond | last  |

    Examples: a host that waits for the origin itself
      | fails            | order |
      | has no piece yet | first |

  Scenario: a completed older version is loaded while the newer one does not arrive
    Given an installer that has 30 pieces of version 2 when it receives version 3
    When the installer's entry host has no piece yet
    And the installer fetches the rest of version 2
    And no piece has arrived for 2 s and the installer reads a report
    Then the installer loads version 2

  Scenario Outline: <missing> of 4 pieces of version 2 are missing <left> s before its deadline: <order>
    # A version that can't serve before its deadline must not use the link.
    Given an installer whose worker is older, with 1 of 4 pieces and turn 0
    When the installer lacks <missing> pieces of version 2 <left> s before its deadline
    Then the installer fetches versions <order>

    Examples:
      | missing | left | order |
      | 4       | 6    | 3, 2  |
      | 2       | 6    | 3, 2  |
      | 2       | 3    | 3     |
      | 0       | 6    | 3     |

  Scenario Outline: version 2, <left> s before its deadline with <missing> pieces missing, is replaced by <version>
    # The worker serves nothing while it loads, so it must not load a version
    # that may not serve afterwards.
    Given an installer whose worker is older, with 1 of 4 pieces and turn 0
    When the installer installs version 2, <left> s before its deadline, with <missing> pieces of 0.5 s missing
    Then the installer switches to version <version>

    Examples:
      | left | missing | version |
      | 4    | 0       | none    |
      | 4    | 2       | none    |
      | 3    | 0       | none    |
      | 3    | 2       | 3       |
      | 2    | 0       | 3       |

  Scenario Outline: with <known> and a worker that is <state>, an installer that <assumption> fetches <index>
    When the installer has <known> of a version, its worker is <state> and it <assumption>
    Then the installer's next fetch is <index>

    Examples:
      | known      | state       | assumption          | index    |
      | nothing    | reachable   | may assume it empty | manifest |
      | nothing    | unreachable | may assume it empty | manifest |
      | a manifest | reachable   | may assume it empty | nothing  |
      | a manifest | unreachable | may assume it empty | 0        |
      | a manifest | unreachable | has to wait         | nothing  |

  Scenario Outline: an agent whose worker is <worker>, with <pieces> of 4 pieces of version 2, <shares> version <version> of <model>
    Given an installer whose worker is <worker>, with <pieces> of 4 pieces and turn 0
    When the installer is asked for staged pieces of version <version> of <model>
    Then the installer <shares> them

    Examples:
      # Staged pieces of a newer version replace those of the older one.
      | worker      | pieces | version | model | shares         |
      | installed   | 0      | 2       | m     | shares         |
      | installed   | 0      | 1       | m     | does not share |
      | installed   | 0      | 2       | other | does not share |
      | older       | 1      | 1       | m     | does not share |
      | empty       | 4      | 2       | m     | does not share |
      | unreachable | 4      | 2       | m     | does not share |

  Scenario Outline: the <task> task waits for a job without a time limit
    # After an hour without a job, a task asked again; the next job went to its
    # first request and was never done.
    When the <task> task asks for a job
    Then it waits for the reply without a time limit

    Examples:
      | task              |
      | installer fetch   |
      | installer load    |
      | relay fetch       |

  Scenario Outline: after a piece of <size> KiB on a link of <rate> Mbit/s an agent pauses for <pause> s
    # A fixed pause takes all of a narrower link from the worker's responses,
    # and slows down copies on a wider one.
    When installer has sent a piece of <size> KiB on a link of <rate> Mbit/s
    Then installer pauses for <pause> s

    Examples:
      | size | rate | pause |
      | 32   | 3.8  | 0.138 |
      | 48   | 4.7  | 0.167 |
      | 32   | 0.38 | 1.38  |
      | 32   | 38   | 0.014 |
      | 320  | 3.8  | 1.38  |
      | 32   | 0    | 0.14  |
