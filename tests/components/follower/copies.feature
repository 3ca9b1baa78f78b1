Feature: Copies of the desired state between hosts
  A desired state of 1,800 routes has 400 KB, and 38 hosts need a copy of each
  over links that requests need too. Copies that are fetched twice or aborted
  half-way congest the links, and some hosts get the state late.

  Scenario Outline: a copy that takes <takes> s is fetched once, however many hellos name the version
    Given follower runs on a host beside a host that responds after <takes> s
    When follower receives every 0.1 s for 2 s that a newer desired state is there
    Then follower has the newer desired state
    And follower fetched 1 copy

    Examples: a copy that arrives at once
      | takes |
      | 0.0   |

    Examples: a copy that takes longer than the hellos' period
      | takes |
      | 0.6   |
      | 1.2   |

  Scenario Outline: a host that responds after <slow> s does not block the fetch from another one
    # It may be suspended, or behind a congested link.
    Given follower runs beside hosts that respond after <slow> s and 0 s
    When follower receives every 0.1 s for 2 s that a newer desired state is there
    Then follower has the newer desired state
    And follower fetched at most 2 copies

    Examples:
      | slow |
      | 0.6  |
      | 60   |

  Scenario Outline: a host whose response <response> does not block the fetch from another one
    # Two fetches that are never recorded as ended would stop this host from
    # fetching from any host.
    Given follower runs beside 2 hosts whose response <response> and one intact host
    When follower receives every 0.1 s for 2 s that a newer desired state is there
    Then follower has the newer desired state

    Examples:
      | response            |
      | is not compressed   |
      | is truncated        |
      | is without records  |

  Scenario Outline: a copy of a desired state of <routes> routes has at most <kb> KB
    # 13 hosts of a data centre that all fetch one over a link of 1.69 MB/s
    # between two regions then occupy it for 0.7 s.
    Given follower has cached a desired state of <routes> routes
    Then follower sends it in at most <kb> KB

    Examples: sizes of a desired state
      | routes | kb |
      | 250    | 15 |
      | 1800   | 90 |
