Feature: Copies of the desired state between hosts
  A desired state of 1,800 routes has 400 KB, and 38 hosts want a copy of each
  over links that requests need too. Copies that are asked for twice, or given
  up half-way, fill the links, and the state is late on hosts that lose.

  Scenario Outline: a copy that takes <takes> s while greetings name it is asked for once
    Given follower runs on a host beside a host that answers after <takes> s
    When follower hears every 0.1 s for 2 s of a newer desired state there
    Then follower has the newer desired state
    And follower asked for 1 copy

    Examples: a copy that comes at once
      | takes |
      | 0.0   |

    Examples: a copy that takes its time
      | takes |
      | 0.6   |
      | 1.2   |

  Scenario Outline: a host that answers after <hangs> s does not keep back what another has
    # It may be suspended, or behind a link that is full.
    Given follower runs beside hosts that answer after <hangs> s and 0 s
    When follower hears every 0.1 s for 2 s of a newer desired state there
    Then follower has the newer desired state
    And follower asked for at most 2 copies

    Examples:
      | hangs |
      | 0.6   |
      | 60    |

  Scenario Outline: a host whose answer <answer> does not keep back what another has
    # Two questions that never end would stop this host from asking anybody.
    Given follower runs beside 2 hosts whose answer <answer> and one that is well
    When follower hears every 0.1 s for 2 s of a newer desired state there
    Then follower has the newer desired state

    Examples:
      | answer              |
      | is not compressed   |
      | is cut off          |
      | is without records  |

  Scenario Outline: a desired state of <routes> routes crosses a link in at most <kb> KB
    # 13 hosts of a data centre that all take one over a link of 1.69 MB/s
    # between two regions then need 0.7 s of it.
    Given follower remembers a desired state of <routes> routes
    Then follower hands it out in at most <kb> KB

    Examples: sizes of a desired state
      | routes | kb |
      | 250    | 15 |
      | 1800   | 90 |
