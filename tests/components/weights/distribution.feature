Feature: Distribution of weights
  The decisions of many agents run over virtual time, beside a naive version in
  which every host fetches everything from the origin. Guards against hosts
  that end up with other bytes than the naive version, with an unchecked chunk
  or with none, and against load on the origin, the hosts' links and the shared
  links beyond the bounds. Copies are multiples of the model's size; each
  disturbed host may add the given copies to what the origin sends.

  Scenario Outline: weights reach every surviving host
    Given weights are distributed under <faults> to <hosts> hosts in <regions> regions
    Then weights decisions and the naive version end with the same bytes
    And weights origin sends at most its copies and <extra> for each disturbed host
    And weights hosts upload at most <uploaded> copies
    And weights cross into each later region at most <crossed> times

    Examples:
      | faults          | hosts | regions | extra | uploaded | crossed |
      | no faults       | 1-40  | 1       | 0     | 1        | 0       |
      | no faults       | 3-40  | 3       | 0     | 1        | 1       |
      | deaths          | 2-16  | 1       | 1     | 2        | 0       |
      | corrupt sources | 2-16  | 1       | 1     | 2        | 0       |
      | differing lists | 2-16  | 1       | 1     | 2        | 0       |
      | origin outages  | 1-16  | 1       | 0     | 2        | 0       |
      | region cuts     | 3-16  | 3       | 1     | 2        | 3       |
      | all faults      | 3-16  | 3       | 1     | 3        | 4       |
