Feature: Selection of an upstream
  A request must not reach a host that is leaving, switches versions or has
  another version than requested. A host whose agent is suspected is selected
  only after live ones. The load must stay even across hosts.

  Scenario Outline: a host that is <property> is selected for version <version>: <selected>
    Given router knows one host that is <property>
    When router selects an upstream of version <version>
    Then router's selection is <selected>

    Examples:
      | property           | version | selected |
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
      | in back-off        | any     | none   |
      | past its back-off  | any     | made   |
      | past its back-off and probed | any     | none   |

  Scenario Outline: a host that is <better> is preferred to one that is <worse>
    Given router knows a host that is <better> and one that is <worse>
    When router selects 50 times
    Then router selected the <better> host each time

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

  Scenario Outline: an upstream that failed <failures> times in a row is in back-off for <backoff_s> s
    When router records <failures> failures of an upstream in a row
    Then router does not use it for <backoff_s> s

    Examples:
      | failures | backoff_s |
      | 1        | 0.25    |
      | 2        | 0.5     |
      | 3        | 1       |
      | 6        | 8       |
      | 7        | 10      |
      | 900      | 10      |

  Scenario Outline: with back-offs of <hosts> the next host may be tried after <wait>
    Given router knows hosts with back-offs of <hosts>
    Then router may try the next host after <wait>

    Examples:
      | hosts        | wait |
      | 3.0, 2.0     | 2.0  |
      | 0.0, 2.0     | 0.05 |
      | leaving, 2.0 | 2.0  |
      | leaving      | none |

  Scenario: the selection agrees with a naive version on random hosts
    When router selections are compared with the naive version
    Then router selected a host whenever the naive version had a candidate
    And router never selected a host that the naive version excludes
    And router never selected the busier of two candidates

  Scenario: requests are spread more evenly than by round robin
    When router and round robin place 2000 requests of uneven length on 8 hosts
    Then router's longest queue is shorter than that of round robin
