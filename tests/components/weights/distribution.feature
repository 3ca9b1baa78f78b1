Feature: Distribution of weights
  The decisions of many agents run over virtual time, beside a naive version in
  which every host fetches everything from the origin. Guards against hosts
  that end up with other bytes than the naive version, with an unchecked chunk
  or with none, and against load on the origin, the hosts' links and the shared
  links beyond the bounds. Copies are multiples of the model's size. Each
  disturbed host may add the given copies to what the origin and a shared link
  carry, and the other hosts share its uploads with a factor of two, which is
  the ratio of upload slots to regular children.

  Scenario Outline: weights reach every surviving host
    Given weights are distributed under <faults> to <hosts> hosts in <regions> regions
    Then weights decisions and the naive version end with the same bytes
    And weights origin sends at most its copies and <extra> for each disturbed host
    And weights hosts upload at most their share of the copies
    And weights cross into each later region at most once and <extra> for each disturbed host

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
