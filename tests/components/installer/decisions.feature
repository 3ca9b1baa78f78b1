Feature: What an agent does with a version
  A worker must never be ordered to load what is incomplete or unchecked, an
  empty worker must not wait, and not all workers may switch at once.

  Scenario Outline: a worker <worker> with <pieces> pieces, turn <turn>: <action>
    Given installer with a worker <worker> and <pieces> of 4 pieces in turn <turn>
    When installer decides after <after> s
    Then installer's next step is <action>

    Examples:
      | worker          | pieces | turn | after | action |
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
      | ordered in vain | 4      | 0    | 9     | start  |
      | without a manifest | 0   | 0    | 1     | wait   |

  Scenario Outline: a worker <worker> with <active> requests drained for <drained> s: <action>
    Given installer with a worker <worker> and 4 of 4 pieces in turn <turn>
    When installer drains a worker with <active> requests for <drained> s
    Then installer's next step is <action>

    Examples:
      # A stream that is cut off costs its prompt once more at another worker.
      | worker | turn | active | drained | action |
      | older  | 0    | 5      | 0.5     | wait   |
      | older  | 0    | 0      | 0.1     | start  |
      | older  | 0    | 5      | 0.9     | start  |
      | older  | 1    | 0      | 0.9     | wait   |
      | empty  | 0    | 0      | 0       | start  |

  Scenario Outline: a check that took <took> s, <after> s ago: <action>
    Given installer with a worker empty and 4 of 4 pieces in turn 0
    When installer ended a check that took <took> s and <after> s pass
    Then installer's next step is <action>

    Examples:
      # On a slow host a check may take longer than it stays fresh.
      | took | after | action |
      | 0.1  | 0.1   | start  |
      | 0.1  | 2.0   | check  |
      | 1.5  | 0.6   | check  |
      | 2.5  | 0.1   | start  |
      | 2.5  | 0.6   | check  |

  Scenario Outline: version 3 with <spare> s left <relation> version 2, <pieces> of 4 pieces after <after> s in group <group>
    Given installer with a worker <worker> and <pieces> of 4 pieces in turn 0
    When installer in group <group> hears after <after> s of version 3 with <spare> s left for it
    Then installer <relation> the version in progress

    Examples:
      # Skipping a version leaves a gap between its bound and the newer one's
      # arrival; finishing it may leave too little time for the newer one.
      | worker    | pieces | after | spare | group | relation |
      | older     | 0      | 1     | 6.2   | 1     | replaces |
      | older     | 1      | 1     | 6.2   | 1     | replaces |
      | older     | 2      | 2     | 6.2   | 1     | finishes |
      | older     | 2      | 2     | 5.9   | 1     | replaces |
      | older     | 3      | 3     | 6.2   | 1     | finishes |
      | older     | 4      | 4     | 6.2   | 1     | finishes |
      | older     | 4      | 4     | 3.9   | 1     | finishes |
      | installed | 4      | 4     | 6.2   | 1     | replaces |
      # The origin may go away with the newer version.
      | older     | 0      | 1     | 6.2   | 0     | replaces |
      | without a manifest | 0 | 1  | 6.2   | 0     | replaces |
      | without a manifest | 0 | 1  | 6.2   | 1     | replaces |
      | older     | 1      | 1     | 6.2   | 0     | finishes |
      | older     | 1      | 2     | 6.2   | 0     | replaces |

  Scenario Outline: with version 2 <state> and version 3 <parked>, version <version> is fetched
    Given installer with a worker older and <pieces> of 4 pieces in turn 1
    When installer has parked version <parked>
    Then installer fetches pieces of version <version>

    Examples:
      # The link must not idle while a whole version waits for its turn.
      | state       | pieces | parked | version |
      | whole       | 4      | 3      | 3       |
      | on its way  | 3      | 3      | 2       |
      | whole       | 4      | 1      | 2       |

  Scenario Outline: nothing has come for <silent> s and an older version is <held>
    Given installer with a worker older and 1 of 4 pieces in turn 0
    When installer has waited for <silent> s and parked a version that is <held>
    Then installer falls back to <version>

    Examples:
      | silent | held                  | version |
      | 0.5    | whole                 | none    |
      | 1.5    | whole                 | 2       |
      | 1.5    | whole, near its bound | none    |
      | 1.5    | partly here           | none    |
      | 1.5    | unknown               | none    |
      | 1.5    | what the worker has   | none    |

  Scenario Outline: version 2 is whole, version 3 <third> and version 4 was named <ago> s ago: <version> is installed
    # The bound of the next version ends one, not that of the newest.
    Given installer with a worker older and 1 of 4 pieces in turn 0
    When installer has version 2 whole, version 3 named <third> s ago and version 4 <ago> s ago
    Then installer falls back to <version>

    Examples:
      | third | ago | version |
      | 1.5   | 0.9 | none    |
      | 6.9   | 0.9 | 4       |

  Scenario: a whole version gives way to a newer one that is whole
    Given installer with a worker older and 1 of 4 pieces in turn 0
    When installer has versions 2 and 3 whole
    Then installer falls back to 3

  Scenario: a version whose pieces were found at the worker is worth loading
    # Without a fetched piece nothing tells how long one takes.
    Given installer with a worker older and 3 of 4 pieces in turn 0
    When installer found all pieces that it has at the worker
    Then installer expects it within 0.07 s

  Scenario Outline: content that is <property> is <sound>
    When installer checks content that is <property>
    Then installer finds it <sound>

    Examples:
      | property | sound |
      | right    | sound |
      | spoilt   | bad   |
      | missing  | bad   |

  Scenario Outline: <worker> with <pieces> of 4 pieces after <after> s is <state> for entry hosts
    Given installer with a worker <worker> and <pieces> of 4 pieces in turn <turn>
    When installer decides after <after> s
    Then installer tells entry hosts that it is <state>

    Examples:
      | worker    | pieces | turn | after | state     |
      | older     | 1      | 0    | 1     | serving   |
      | older     | 3      | 0    | 1     | switching |
      | older     | 4      | 0    | 1     | switching |
      | older     | 4      | 2    | 1     | serving   |
      | ordered   | 4      | 2    | 1     | switching |
      | installed | 4      | 0    | 1     | serving   |

  Scenario Outline: what is staged counts as <checked> after a suspension of <suspended> s
    Given installer has 30 pieces of version 2 when it hears of version 3
    When installer's host was suspended for <suspended> s after a check
    Then installer's staged pieces count as <checked>

    Examples:
      # The monotonic clock stands still while pieces may turn bad.
      | suspended | checked   |
      | 0         | checked   |
      | 2         | unchecked |

  Scenario: a newer version that is not there yet leaves the link to the older one
    # A link that idles costs the time in which a version could be served.
    Given installer has 30 pieces of version 2 when it hears of version 3
    When installer's entry host has no piece yet
    Then installer fetches a piece of version 2 next

  Scenario Outline: an entry host that <fails> is asked <order> for the next piece
    # A host that waits for the origin itself is no worse than the others.
    Given installer has 30 pieces of version 2 when it hears of version 3
    And installer knows a second entry host
    When installer's entry host <fails>
    Then installer asks that host <order>

    Examples: a host that failed
      | fails            | order |
      | does not answer  | last  |

      Examples: a host that waits itself
      | fails            | order |
      | has no piece yet | first |

  Scenario: an older version that becomes whole is installed while the newer does not come
    Given installer has 30 pieces of version 2 when it hears of version 3
    When installer's entry host has no piece yet
    And installer fetches the rest of version 2
    And installer has waited 2 s in vain and a report arrives
    Then installer loads version 2

  Scenario Outline: version 2 with <missing> of 4 pieces missing may serve for <left> s: <order>
    # What can't serve before its bound must not take the link.
    Given installer with a worker older and 1 of 4 pieces in turn 0
    When installer has <missing> pieces of version 2 to come and <left> s
    Then installer fetches versions <order>

    Examples:
      | missing | left | order |
      | 4       | 6    | 3, 2  |
      | 2       | 6    | 3, 2  |
      | 2       | 3    | 3     |
      | 0       | 6    | 3     |

  Scenario Outline: version 2, <left> s from its bound with <missing> pieces to come, gives way to <version>
    # The worker serves nothing while it loads what may not serve afterwards.
    Given installer with a worker older and 1 of 4 pieces in turn 0
    When installer installs version 2, <left> s from its bound, with <missing> pieces of 0.5 s to come
    Then installer falls back to <version>

    Examples:
      | left | missing | version |
      | 4    | 0       | none    |
      | 4    | 2       | none    |
      | 3    | 0       | none    |
      | 3    | 2       | 3       |
      | 2    | 0       | 3       |

  Scenario Outline: with <known> and a worker that is <there>, <guess>, it fetches <index>
    When installer knows <known> of a version, its worker is <there> and it <guess>
    Then installer fetches <index>

    Examples:
      | known      | there | guess       | index    |
      | nothing    | there | may guess   | manifest |
      | nothing    | away  | may guess   | manifest |
      | a manifest | there | may guess   | nothing  |
      | a manifest | away  | may guess   | 0        |
      | a manifest | away  | has to wait | nothing  |

  Scenario Outline: <worker> with <pieces> of 4 pieces of version 2 <shares> version <version>
    Given installer with a worker <worker> and <pieces> of 4 pieces in turn 0
    When installer is asked for staged pieces of version <version> of <model>
    Then installer <shares> them

    Examples:
      # Staging a newer version replaces what was staged of the older one.
      | worker      | pieces | version | model | shares         |
      | installed   | 0      | 2       | m     | shares         |
      | installed   | 0      | 1       | m     | does not share |
      | installed   | 0      | 2       | other | does not share |
      | older       | 1      | 1       | m     | does not share |
      | empty       | 4      | 2       | m     | does not share |
      | unreachable | 4      | 2       | m     | does not share |
