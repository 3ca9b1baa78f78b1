Feature: Entries that disappear, and ages of declared versions
  The entries of running workers expire during a store outage, and the platform
  restores them. A follower that removed these workers at once would lose
  running ones; one that kept every worker whose entry disappears would send
  requests to stopped ones.

  Scenario Outline: a <kind> worker whose entry disappears <when> is <state>
    Given follower lists a <kind> worker
    When follower's store is unreachable and back at 10 s, and the entry disappears at <at> s
    Then follower's worker is <state> at <at> s
    And follower's worker is <later> at 13 s

    Examples:
      | kind     | when            | at    | state   | later   |
      | ready    | at the return   | 10.0  | listed  | removed |
      | ready    | soon after it   | 11.0  | listed  | removed |
      | ready    | well after it   | 12.6  | removed | removed |
      | draining | at the return   | 10.0  | removed | removed |

  Scenario: a worker whose entry is restored in time stays listed
    Given follower lists a ready worker
    When follower's store is unreachable and back at 10 s, and the entry disappears at 10 s
    And follower's entry is back at 11 s
    Then follower's worker is listed at 13 s

  Scenario: a worker whose entry disappears without a store outage is removed at once
    Given follower lists a ready worker
    When follower's entry disappears at 5 s
    Then follower's worker is removed at 5 s

  Scenario Outline: a version received from <first> and then from <second> is known for <age>
    # The age limits for how long the older version may be used. A host that
    # starts within the version limit must not refuse the older version.
    When follower learns of version 2 from <first>
    And follower learns of version 2 from <second>
    Then follower published that version 2 is known for <age>

    Examples: ages that are kept
      | first                  | second                 | age        |
      | a change               | a snapshot             | 0 s        |
      | a host knowing it 3 s  | a change               | 3 s        |
      | a snapshot             | a host not knowing when | an unknown time |

    Examples: ages that are replaced
      | first                  | second                 | age        |
      | a snapshot             | a host knowing it 3 s  | 3 s        |
      | a host not knowing when | a host knowing it 3 s | 3 s        |
      # The first host that sent the version may have read it late.
      | a change               | a host knowing it 3 s  | 3 s        |

  Scenario: a host that starts after two declarations records the age of the earlier version
    # The earlier declaration sets the deadline of the versions before it.
    When follower learns of version 3 from a snapshot
    And follower learns of version 2 from a host knowing it 3 s
    Then follower published that earlier version 2 is known for 3 s
