Feature: Choice of an upstream
  New work never goes to a host that leaves, switches or has another version,
  to one whose agent is suspected only after all others, and the load stays
  even.

  Scenario Outline: a host that is <property> is <chosen>
    Given router knows one host that is <property>
    When router chooses an upstream of version <version>
    Then router's choice is <chosen>

    Examples:
      | property           | version | chosen |
      | live               | any     | made   |
      | leaving            | any     | none   |
      | switching          | any     | none   |
      | suspected          | any     | made   |
      | suspected          | v2      | none   |
      | of another service | any     | none   |
      | without an address | any     | none   |
      | live               | v1      | made   |
      | live               | v2      | none   |
      | unconfirmed        | any     | made   |
      | unconfirmed        | v1      | none   |
      | resting            | any     | none   |
      | rested and idle    | any     | made   |
      | rested and probed  | any     | none   |

  Scenario Outline: of two hosts the one that is <better> goes before one that is <worse>
    Given router knows a host that is <better> and one that is <worse>
    When router chooses 50 times
    Then router chose the <better> host each time

    Examples:
      | better     | worse         |
      | near       | far           |
      | live       | suspected     |
      | far        | suspected     |
      | live, busy | suspected     |
      | near, busy | far           |
      | untried    | tried         |
      | untried, far | tried       |
      | confirmed  | unconfirmed   |
      | idle       | busy          |
      | idle, loaded | busy        |
      | idle       | loaded        |

  Scenario Outline: an upstream that failed <failures> times rests for <pause_s> s
    When router suspects an upstream <failures> times
    Then router lets it rest for <pause_s> s

    Examples:
      | failures | pause_s |
      | 1        | 0.25    |
      | 2        | 0.5     |
      | 3        | 1       |
      | 6        | 8       |
      | 7        | 10      |
      | 900      | 10      |

  Scenario Outline: with <hosts> the shortest rest is <rest>
    Given router knows hosts that rest for <hosts>
    Then router's shortest rest is <rest>

    Examples:
      | hosts        | rest |
      | 3.0, 2.0     | 2.0  |
      | 0.0, 2.0     | 0.05 |
      | leaving, 2.0 | 2.0  |
      | leaving      | none |

  Scenario: the choice agrees with the naive version on random hosts
    When router choices are compared with the naive version
    Then router chose a host whenever the naive version had a candidate
    And router never chose a host that the naive version excludes
    And router never chose the busier of two candidates

  Scenario: the requests of a host are spread more evenly than in turns
    When router and turns place 2000 requests of uneven length on 8 hosts
    Then router's longest queue is shorter than that of turns
