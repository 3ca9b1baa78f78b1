Feature: Delays of the paths between data centres
  Requests that queue in a congested link reach their worker only after their
  callers have given up. A host's own connections show the delay only once it
  has sent requests over the link, so hosts measure it by the transit times of
  hellos.

  Scenario Outline: with clocks <offset> s apart, a path that takes <before> s and then <after> s has a delay of <delay> s
    # The hosts' clocks need not agree.
    Given presence receives hellos of 3 hosts whose clocks are <offset> s ahead
    When presence's hellos take <before> s for 10 s and then <after> s for 2 s
    Then presence measures an inbound delay of <delay> s

    Examples:
      | offset | before | after | delay |
      | 0      | 0.001  | 0.001 | 0     |
      | 0      | 0.001  | 0.8   | 0.8   |
      | 5000   | 0.001  | 0.8   | 0.8   |
      | -5000  | 0.001  | 0.8   | 0.8   |
      | 0      | 0.8    | 0.001 | 0     |

  Scenario Outline: if the hellos of <slow> of 3 hosts are late, the delay is <delay> s
    # A host that lacks processor time sends late too; the link is not
    # congested then.
    Given presence receives hellos of 3 hosts whose clocks are 0 s ahead
    When presence's hellos of <slow> hosts take 0.8 s after 10 s
    Then presence measures an inbound delay of <delay> s

    Examples:
      | slow | delay |
      | 0    | 0     |
      | 1    | 0     |
      | 2    | 0.8   |

  Scenario Outline: hosts that report <outbound> s and whose hellos take <inbound> s give <delay> s for both directions
    Given presence receives hellos of 3 hosts whose clocks are 0 s ahead
    And presence's hellos report a delay of <outbound> s from the local data centre
    When presence's hellos take 0.001 s for 10 s and then <inbound> s for 2 s
    Then presence measures a delay of <delay> s for both directions

    Examples:
      | outbound | inbound | delay |
      | 0        | 0.001   | 0     |
      | 0.7      | 0.001   | 0.7   |
      | 0        | 0.701   | 0.7   |
      | 0.2      | 0.201   | 0.4   |

  Scenario: a data centre from which no hello arrives any more has no delay
    Given presence receives hellos of 3 hosts whose clocks are 0 s ahead
    When presence's hellos take 0.8 s for 10 s and then none arrives for 3 s
    Then presence measures no inbound delay
