Feature: Links stand-in
  The figures of copies per link come from these counters, so each link must
  count the bytes it carries. A partition of a region must affect traffic that
  enters or leaves the region, and no other.

  Scenario Outline: a token bucket returns the time to wait for bytes
    Given link token bucket of <rate_per_s> bytes/s with a burst of <burst_s> s
    Then link token bucket reserves <amounts> bytes at <times> s with waits <waits>

    Examples:
      | rate_per_s | burst_s | amounts | times | waits   |
      | 100        | 0       | 50 50   | 10 10 | 0.5 1   |
      | 100        | 0       | 50 50   | 10 12 | 0.5 0.5 |
      | 100        | 1       | 50 100  | 10 10 | 0 0.5   |
      | 0          | 0       | 50 50   | 10 10 | 0 0     |

  Scenario Outline: bytes are transferred, delayed or lost
    Given links stand-in between hosts near-1, near-2 and far-1
    And links stand-in has switches <switches>
    When links stand-in transfers 5 bytes from <sender> to <receiver>
    Then links stand-in shows the connection as <outcome>

    Examples:
      | switches            | sender | receiver | outcome |
      | {}                  | near-1 | near-2   | echoed  |
      | {}                  | near-1 | far-1    | echoed  |
      | {"cut": ["far"]}    | near-1 | far-1    | closed  |
      | {"cut": ["far"]}    | near-1 | near-2   | echoed  |
      | {"cut": ["near-2"]} | near-1 | near-2   | closed  |
      | {"stall": ["far"]}  | near-1 | far-1    | stalled |
      | {"drop": ["far"]}   | near-1 | far-1    | silent  |

  Scenario Outline: each link on the path counts the bytes
    Given links stand-in between hosts near-1, near-2 and far-1
    When links stand-in transfers 5 bytes from near-1 to <receiver>
    Then links stand-in counts <up> up, <down> down and <out> out of the region

    Examples:
      | receiver | up | down | out |
      | near-2   | 5  | 5    | 0   |
      | far-1    | 5  | 5    | 5   |
