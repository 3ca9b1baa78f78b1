Feature: Configuration decisions
  Every process folds the same records to the same configuration, and no
  process reverts to an earlier one.

  Scenario Outline: configuration folds a record to a verdict
    # Guards against an operator's record that replaces a newer one which the
    # operator had not read, and against an invalid document in force.
    Given configuration in force at offset <in_force>
    When configuration folds a record based on <based_on> with <content>
    Then configuration verdict is <verdict>

    Examples:
      | in_force | based_on | content          | verdict    |
      | -1       | -1       | valid content    | accepted   |
      | -1       | 0        | valid content    | conflict   |
      | 4        | 4        | valid content    | accepted   |
      | 4        | 3        | valid content    | conflict   |
      | 4        | -1       | valid content    | conflict   |
      | 4        | 4        | no services      | invalid    |
      | 4        | 4        | unknown model    | invalid    |
      | -1       | -1       | other partitions | accepted   |
      | 4        | 4        | other partitions | invalid    |
      | 4        | 4        | invalid overlay  | invalid    |
      | 4        | 4        | overlay as list  | invalid    |
      | 4        | 4        | base as text     | invalid    |
      | 4        | 4        | text as record   | invalid    |
      | 4        | 4        | checkpoint       | checkpoint |
      | 4        | 3        | old record again | seen       |

  Scenario Outline: configuration after records expired
    # Guards against a skipped accepted record: folding continues after
    # records that expired before they were read. Checkpoints are written as
    # folded offset@record offset.
    Given configuration in force at offset <in_force>
    When configuration reads a log retained from <earliest> with <checkpoints>
    Then configuration is in force at offset <found>
    And configuration next reads from offset <position>

    Examples:
      | in_force | earliest | checkpoints   | found | position |
      | -1       | 10       | none          | -1    | 13       |
      | -1       | 10       | 8@10          | -1    | 13       |
      | -1       | 10       | 10@11         | 9     | 10       |
      | -1       | 10       | 8@10 12@12    | 11    | 12       |
      | -1       | 10       | 11@11 12@12   | 10    | 11       |
      | 4        | 10       | none          | 4     | 13       |
      | 4        | 10       | 10@11         | 9     | 10       |
      | 4        | 5        | none          | 4     | 8        |

  Scenario Outline: configuration page that was read before the state changed
    # Guards against skipped records when a page read from an old position
    # arrives after the state of a peer was adopted.
    Given configuration in force at offset 4
    When configuration reads a page of records from <first> on
    Then configuration is in force at offset <found>
    And configuration next reads from offset <position>

    Examples:
      | first | found | position |
      | 2     | 4     | 5        |
      | 3     | 5     | 6        |
      | 5     | 5     | 8        |
      | 6     | 4     | 5        |
      | 9     | 4     | 5        |

  Scenario Outline: configuration state of a peer
    # Guards against reverting to an earlier configuration because the reply
    # of a peer is delayed until a newer one is in force.
    Given configuration in force at offset 4
    When configuration receives a state folded to <folded> at <accepted>
    Then configuration state of the peer is <verdict>

    Examples:
      | folded | accepted | verdict |
      | 4      | 3        | refused |
      | 5      | 4        | refused |
      | 9      | 3        | refused |
      | 6      | 4        | adopted |
      | 6      | 5        | adopted |

  Scenario Outline: configuration recovery point of starting processes
    # Guards against a checkpoint that is written too late or without need,
    # because an expired or older record counts as the recovery point.
    When configuration reads <records> in a log retained from <earliest>
    Then configuration recovery point is <recovery_point>

    Examples:
      | records       | earliest | recovery_point |
      | first         | 0        | 0              |
      | first 10@12   | 0        | 10             |
      | 10@12 11@13   | 9        | 11             |
      | 10@12         | 10       | 10             |
      | 10@12         | 11       | missing        |
      | first         | 1        | missing        |

  Scenario Outline: configuration writes a checkpoint before records expire
    # Guards against a log whose records have all expired without a checkpoint,
    # and against 390 entry hosts that write one at the same time.
    Given configuration of a <role> of rank <rank> with retention 3600 s
    When configuration has a recovery point <age> s old and a log that is <log>
    Then configuration checkpoint is <due>

    Examples:
      | role  | rank | age  | log         | due     |
      | entry | 0    | 1799 | read        | not due |
      | entry | 0    | 1800 | read        | due     |
      | entry | 1    | 1800 | read        | not due |
      | entry | 1    | 1980 | read        | due     |
      | entry | 300  | 3239 | read        | not due |
      | entry | 300  | 3240 | read        | due     |
      | entry | 0    | 1800 | unavailable | not due |
      | agent | 0    | 3240 | read        | not due |

  Scenario Outline: configuration document of a site
    # Guards against a site without an overlay that runs with the base or with
    # another site's document and reports no error.
    Given configuration with overlays for <overlays>
    When configuration is merged for site <site>
    Then configuration merge gives <result>

    Examples:
      | overlays       | site    | result                            |
      | nothing        | genkai  | fleet base                        |
      | genkai         | genkai  | fleet genkai                      |
      | genkai,satsuma | satsuma | fleet satsuma                     |
      | genkai,satsuma | ariake  | value=ariake expected="one of genkai,satsuma" |

  Scenario: configuration agrees with the naive version under random faults
    # Guards against reverted and lost changes under concurrent publishers,
    # suspensions, restarts, outages, expiry, repeated appends and delayed
    # replies of peers.
    Then configuration agrees with the naive version over 300 random runs
