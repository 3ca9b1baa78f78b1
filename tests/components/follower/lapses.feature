Feature: Entries that vanish, and versions heard of
  A worker whose entry lapsed while the store was away must not be lost, and
  one that left must not be kept.

  Scenario Outline: an entry of a <kind> worker that vanishes <when> is <fate>
    Given follower lists a <kind> worker
    When follower's store is away and back at 10 s, and the entry vanishes at <at> s
    Then follower takes the worker as <fate> at <at> s
    And follower takes the worker as <later> at 13 s

    Examples:
      | kind     | when            | at    | fate  | later |
      | ready    | at the return   | 10.0  | there | gone  |
      | ready    | soon after it   | 11.0  | there | gone  |
      | ready    | well after it   | 12.6  | gone  | gone  |
      | draining | at the return   | 10.0  | gone  | gone  |

  Scenario: an entry that returns in time keeps its worker
    Given follower lists a ready worker
    When follower's store is away and back at 10 s, and the entry vanishes at 10 s
    And follower's entry is back at 11 s
    Then follower takes the worker as there at 13 s

  Scenario: an entry that vanishes while the store is well is gone at once
    Given follower lists a ready worker
    When follower's entry vanishes at 5 s
    Then follower takes the worker as gone at 5 s

  Scenario Outline: a version from <first>, then from <second>: its age is <age>
    # A host that starts within the bound must not refuse the older version.
    When follower learns of version 2 from <first>
    And follower learns of version 2 from <second>
    Then follower announced that version 2 is known for <age>

    Examples: ages that are kept
      | first                  | second                 | age        |
      | a change               | a snapshot             | 0 s        |
      | a host knowing it 3 s  | a change               | 3 s        |
      | a snapshot             | a host not knowing when | an unknown time |

    Examples: ages that are replaced
      | first                  | second                 | age        |
      | a snapshot             | a host knowing it 3 s  | 3 s        |
      | a host not knowing when | a host knowing it 3 s | 3 s        |
      # The first host that told it may have read it late.
      | a change               | a host knowing it 3 s  | 3 s        |

  Scenario: a host that starts after two versions learns the age of the earlier one
    # The earlier one bounds the versions before it.
    When follower learns of version 3 from a snapshot
    And follower learns of version 2 from a host knowing it 3 s
    Then follower announced that earlier version 2 is known for 3 s
