Feature: Links stand-in
  Figures of copies per link come from these counters, and a partition must cut
  what crosses a region's border and nothing else.

  Scenario Outline: a bucket tells how long bytes take
    Given link bucket of <per_s> bytes/s with a burst of <burst_s> s
    Then link bucket reserves <amounts> bytes at <times> s with waits <waits>

    Examples:
      | per_s | burst_s | amounts | times | waits   |
      | 100   | 0       | 50 50   | 10 10 | 0.5 1   |
      | 100   | 0       | 50 50   | 10 12 | 0.5 0.5 |
      | 100   | 1       | 50 100  | 10 10 | 0 0.5   |
      | 0     | 0       | 50 50   | 10 10 | 0 0     |

  Scenario Outline: bytes pass, wait or are lost
    Given links stand-in between hosts near-1, near-2 and far-1
    And links stand-in has switches <switches>
    When links stand-in carries 5 bytes from <sender> to <receiver>
    Then links stand-in shows the exchange as <outcome>

    Examples:
      | switches            | sender | receiver | outcome |
      | {}                  | near-1 | near-2   | echoed  |
      | {}                  | near-1 | far-1    | echoed  |
      | {"cut": ["far"]}    | near-1 | far-1    | closed  |
      | {"cut": ["far"]}    | near-1 | near-2   | echoed  |
      | {"cut": ["near-2"]} | near-1 | near-2   | closed  |
      | {"stall": ["far"]}  | near-1 | far-1    | stalled |
      | {"drop": ["far"]}   | near-1 | far-1    | silent  |

  Scenario Outline: each link on the way counts the bytes
    Given links stand-in between hosts near-1, near-2 and far-1
    When links stand-in carries 5 bytes from near-1 to <receiver>
    Then links stand-in counts <up> up, <down> down and <out> out of the region

    Examples:
      | receiver | up | down | out |
      | near-2   | 5  | 5    | 0   |
      | far-1    | 5  | 5    | 5   |
