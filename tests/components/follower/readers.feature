Feature: Which hosts read the operator's records
  In a series of changes of the desired state, copies that are fetched twice
  must not fill the links that requests and weights need.

  Scenario Outline: of <count> hosts in each of 3 data centres, <readers> read in each
    Given follower runs on every one of <count> hosts in each of 3 data centres
    Then follower reads the store itself on <readers> hosts of each data centre

    Examples:
      | count | readers |
      | 1     | 1       |
      | 3     | 3       |
      | 13    | 3       |

  Scenario: a host that knows no other one and no desired state reads itself
    Given follower runs on a host that knows nobody
    Then follower reads the store itself

  Scenario Outline: a host that <role>, <state>, <behind> s after it heard of a newer state, by <place>: <fate>
    # Every host fetched every desired state from a host that had it sooner.
    Given follower runs on a host that <role> and <state>
    When follower hears of a newer desired state from <place> after <behind> s
    Then follower <fate> it from there

    Examples:
      | role          | state             | place      | behind | fate           |
      | reads         | is well           | its reader | 0      | does not fetch |
      | reads         | is well           | elsewhere  | 0      | does not fetch |
      | reads         | is well           | its reader | 0.6    | fetches        |
      | reads         | was turned away   | elsewhere  | 0      | fetches        |
      | does not read | is well           | its reader | 0      | fetches        |
      | does not read | is well           | elsewhere  | 0      | does not fetch |
      | does not read | is well           | another reader | 0  | does not fetch |
      | does not read | is well           | elsewhere  | 0.6    | fetches        |
      | does not read | is up to date     | its reader | 0      | does not fetch |

  Scenario Outline: a host that does not read and is behind for <behind> s <reads>
    # Its readers may be gone or cut off.
    Given follower runs on a host that does not read and is well
    When follower hears of a newer desired state from its reader after <behind> s
    Then follower <reads> the store itself

    Examples:
      | behind | reads         |
      | 1.0    | does not read |
      | 1.6    | reads         |

  Scenario Outline: <pause> s after a fetch the next one waits for <left> s
    Given follower runs on a host that does not read and is well
    When follower fetched a desired state <pause> s ago
    Then follower waits for <left> s before it fetches again

    Examples:
      | pause | left |
      | 0.1   | 0.4  |
      | 0.6   | 0.0  |

  Scenario Outline: changes every 0.26 s that arrive <late> s after they were heard of: <fate>
    # A host that keeps up must not be taken as one that lacks something.
    Given follower runs on a host that does not read and is well
    When follower hears of 20 changes and takes each <late> s later
    Then follower <fate> from elsewhere

    Examples:
      | late | fate           |
      | 0.4  | does not fetch |
      | 0.7  | fetches        |

  Scenario Outline: a snapshot at offset <second> after one at <first> leaves <held>
    # A reader hands its memory to other hosts, so it must not go back.
    When follower remembers a snapshot at offset <first> and one at <second>
    Then follower hands out the snapshot of offset <held>

    Examples:
      | first | second | held |
      | 99    | 100    | 100  |
      | 100   | 99     | 100  |
