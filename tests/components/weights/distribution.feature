Feature: Distribution of weights
  The decisions of many agents run in simulated time and are compared with a
  naive version, in which every host fetches everything from the origin.
  Guards against
  - a host that ends with other bytes than in the naive version, with an
    unverified chunk or with a missing one,
  - more load than allowed on the origin, on the links of the hosts and on the
    links that the hosts of a region share.
  A copy is as many bytes as the model has. A disturbed host is one that a fault
  affects directly. Each of them may add the given number of copies to the load
  of the origin and of a shared link. The other hosts take over its uploads, with
  a factor of two, which is the ratio of upload slots to regular children.

  Scenario Outline: every surviving host receives the weights within the load limits
    Given weights are distributed under <faults> to <hosts> hosts in <regions> regions
    Then weights decisions and the naive version end with the same bytes
    And weights origin sends at most its copies and <extra> copies for each disturbed host
    And weights hosts upload at most their share of the copies
    And weights enter each later region at most once and <extra> times for each disturbed host

    Examples:
      | faults          | hosts | regions | extra |
      | no faults       | 1-40  | 1       | 0     |
      | no faults       | 3-40  | 3       | 0     |
      | deaths          | 2-16  | 1       | 1     |
      | corrupt sources | 2-16  | 1       | 1     |
      | differing lists | 2-16  | 1       | 1     |
      | origin outages  | 1-16  | 1       | 0     |
      | region cuts     | 3-16  | 3       | 1     |
      | all faults      | 3-16  | 3       | 1     |
