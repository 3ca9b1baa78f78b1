Feature: Choice of an upstream by dispatch
  Work must not go to a worker that leaves, holds no allowed version or was
  replaced, and the load must stay even over those that remain.

  Scenario Outline: a worker that is <first> and one that is far, <delay> s further than usual: <chosen>
    # A request waits in a full link; closing its connection does not take it
    # back, and it reached the worker over half a second after its caller left.
    Given dispatch knows a worker that is <first> and one that is far
    And dispatch measures that the path elsewhere takes <delay> s longer than usual
    When dispatch chooses for a request that is <kind>
    Then dispatch's choice is <chosen>

    Examples:
      | first    | delay | kind    | chosen     |
      | full     | 0.0   | new     | made       |
      | full     | 0.25  | new     | made       |
      | full     | 0.35  | new     | overloaded |
      | idle     | 0.35  | new     | made       |
      | draining | 0.35  | new     | overloaded |
      # What has begun is better late than broken off.
      | draining | 0.35  | resumed | made       |

  Scenario Outline: a worker that is <property> is <chosen>
    Given dispatch knows a worker that is <property>
    When dispatch chooses
    Then dispatch's choice is <chosen>

    Examples:
      | property                   | chosen      |
      | idle                       | made        |
      | draining                   | no_upstream |
      | of another service         | no_upstream |
      | without weights            | no_upstream |
      | half loaded                | no_upstream |
      | reported unreachable       | no_upstream |
      | reported as started anew   | no_upstream |
      | full                       | overloaded  |
      | full by reports            | overloaded  |
      | full by an old report      | made        |
      | resting                    | overloaded  |
      | rested                     | made        |
      | entered whole, never reported | made     |
      | entered empty, never reported | no_upstream |

  Scenario Outline: a refusal with a worker that is <property> says <why>
    # Without the reason, a log can't tell a version's bound from a lost worker.
    Given dispatch knows a worker that is <property>
    And dispatch knows that version 2 was declared <ago> s ago
    When dispatch chooses
    Then dispatch's refusal says <why>

    Examples:
      | property             | ago | why                       |
      | idle                 | 9   | 1 on version 1            |
      | draining             | 1   | 1 leaving                 |
      | reported unreachable | 1   | 1 unreachable or replaced |
      | half loaded          | 1   | 1 without whole weights   |
      | of another service   | 1   | none is known             |

  Scenario Outline: of two workers the one that is <better> goes before one that is <worse>
    Given dispatch knows a worker that is <better> and one that is <worse>
    When dispatch chooses 50 times
    Then dispatch chose the first each time

    Examples:
      | better    | worse     |
      | idle      | busy      |
      | near      | far       |
      | far       | switching |
      | idle      | failing   |
      | far       | failing   |
      | far       | half full |

  Scenario Outline: version 2 was just declared and of two workers one is <better>, one <worse>
    # A stream on a worker that is behind is cut off when that one switches.
    Given dispatch knows a worker that is <better> and one that is <worse>
    And dispatch knows that version 2 was declared 1 s ago
    When dispatch chooses 50 times
    Then dispatch chose the first each time

    Examples:
      | better             | worse |
      | of version 2       | idle  |
      | far, of version 2  | near  |
      | idle               | busy  |

  Scenario Outline: version <held> is <fate> when <declared> has been known for <known> s
    When dispatch judges version <held> with <declared> known for <known> s
    Then dispatch's version is <fate>

    Examples:
      | held | declared | known | fate      |
      | 1    | 1        | 99    | allowed   |
      | 1    | 2        | 1     | allowed   |
      | 1    | 2        | 7     | allowed   |
      | 1    | 2        | 7.5   | forbidden |
      | 2    | 1        | 99    | allowed   |
      | 2    | 3        | 9     | forbidden |
      # A host that started since does not know when version 2 was declared.
      | 1    | 3        | 1     | forbidden |

  Scenario Outline: a stream on version <held> with <declared> known for <known> s begins within <left>
    # A request that waits at a busy worker may begin after the bound.
    Given dispatch knows a worker that is of version <held>
    And dispatch knows that version <declared> was declared <known> s ago
    When dispatch computes until when a stream may begin
    Then dispatch lets it begin within <left>

    Examples:
      | held | declared | known | left     |
      | 2    | 3        | 1     | 6.70     |
      | 2    | 3        | 7     | 0.70     |
      | 2    | 2        | 7     | any time |

  Scenario Outline: a request that would begin past the bound is not sent to a worker behind
    # A request that waits at a worker, or in a busy link on the way to it,
    # begins on the old version after its bound.
    Given dispatch knows a worker that is <worker>
    And dispatch knows that version 2 was declared <ago> s ago
    When dispatch chooses for a request that is <kind>
    Then dispatch's choice is <chosen>

    Examples: near the bound of the version
      | worker                | ago | kind    | chosen     |
      | without room to begin | 6.5 | new     | overloaded |
      | without room to begin | 6.5 | resumed | overloaded |
      | far                   | 6.5 | new     | overloaded |

    Examples: long before it, or with room
      | worker                | ago | kind    | chosen     |
      | without room to begin | 1   | new     | made       |
      | far                   | 1   | new     | made       |
      | without room to begin | 1   | resumed | made       |
      | busy                  | 6.5 | new     | made       |
      | busy                  | 6.5 | resumed | made       |

  Scenario Outline: 30 requests/s on <hosts> hosts, a report <age> s old, <active> of 16 slots taken, <elsewhere> elsewhere: <chosen>
    # Hosts that choose the last worker of a version at once fill its queue.
    Given dispatch knows a worker whose report with <active> active is <age> s old
    And dispatch knows that version 2 was declared 6.5 s ago
    And dispatch knows <elsewhere> workers elsewhere that are as free
    And dispatch on one of <hosts> hosts counts 30 requests a second
    When dispatch chooses for a request that is new
    Then dispatch's choice is <chosen>

    Examples:
      | hosts | age | active | elsewhere | chosen     |
      | 1     | 0.2 | 8      | 0         | made       |
      | 7     | 0.1 | 0      | 0         | overloaded |
      | 7     | 0.1 | 0      | 27        | overloaded |
      | 3     | 0.1 | 8      | 0         | made       |
      | 3     | 0.2 | 8      | 0         | overloaded |
      | 1     | 1.3 | 0      | 0         | overloaded |

  Scenario Outline: a version declared 4 s ago counts <age> s after a suspension of <suspended> s
    # The monotonic clock stands still meanwhile, the bound does not.
    Given dispatch hears of version 2 declared 4 s ago
    When dispatch's host is suspended for <suspended> s
    Then dispatch picks <picked> of a worker with version 1

    Examples: no suspension
      | suspended | age | picked      |
      | 0         | 4   | one request |

    Examples: a suspension past the bound
      | suspended | age | picked      |
      | 5         | 9   | nothing     |

  Scenario: a newer version does not prolong the bound of the one before it
    When dispatch judges version 1 with 2 known for 8 s and 3 for 1 s
    Then dispatch's version is forbidden

  Scenario Outline: with <requests> requests on <hosts> hosts <retries> retries are allowed
    When dispatch on one of <hosts> hosts counts <requests> requests
    Then dispatch allows <retries> retries

    Examples:
      | requests | hosts | retries |
      | 0        | 1     | 71      |
      | 0        | 7     | 10      |
      | 100      | 7     | 24      |
      | 1000     | 7     | 150     |

  Scenario: requests of an earlier window allow no retries
    When dispatch counts 1000 requests and 60 s pass
    Then dispatch allows 10 retries

  Scenario Outline: after <verdicts> a worker is <state>
    When dispatch notes the verdicts <verdicts>
    Then dispatch's worker is <state>

    Examples:
      | verdicts                     | state   |
      | answered                     | free    |
      | upstream_busy                | resting |
      | reset_before_answer          | resting |
      | connect_failed               | resting |
      | caller_left                  | free    |
      | upstream_error               | free    |
      | reset_before_answer, answered | resting |

  Scenario Outline: a request whose caller leaves <when> holds no place afterwards
    Given dispatch serves one worker with room for 1 request
    When dispatch is asked by 2 requests and the caller of the <left> leaves
    Then dispatch counts <own> requests at the worker
    And dispatch answers the next request <answer>

    Examples:
      | when                   | left   | own | answer      |
      | while it waits         | second | 1   | overloaded  |
      | with its answer unread | first  | 1   | overloaded  |
      | before either ends     | both   | 0   | with a worker |
