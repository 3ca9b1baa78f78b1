Feature: Reads that are sent again once their response is overdue
  The store, or one connection to it, may become silent or slow while a read is
  in progress. A read that only waits outlives the fault and blocks the reads
  after it.

  Scenario Outline: a read whose attempts are <first> and then <second> ends as <outcome> after <attempts> attempts
    Given hedged peer whose attempts are <first>, and after that <second>
    When hedged peer is sent a read that it may hold for <held> s
    Then hedged read ends as <outcome> after <attempts> attempts
    And hedged read took between <least> and <most> s
    And hedged peer has no connection in use within 0.3 s

    Examples:
      | first     | second    | held | outcome             | attempts | least | most |
      | answered  | answered  | 0    | right               | 1        | 0.0   | 0.15 |
      | silent    | answered  | 0    | right               | 2        | 0.2   | 0.35 |
      | silent    | silent    | 0    | silent              | 2        | 0.6   | 0.75 |
      | late      | silent    | 0    | right               | 2        | 0.4   | 0.55 |
      | held      | answered  | 0.4  | right               | 1        | 0.4   | 0.55 |
      | silent    | answered  | 0.4  | right               | 2        | 0.6   | 0.75 |
      | trickling | answered  | 0    | right               | 2        | 0.3   | 0.45 |
      | trickling | trickling | 0    | silent              | 2        | 1.0   | 2.4  |
      | held then trickling | answered | 0.4 | right      | 2        | 0.7   | 0.85 |
      | closed    | answered  | 0    | reset_before_answer | 1        | 0.0   | 0.15 |
      | silent    | closed    | 0    | silent              | 2        | 0.6   | 0.75 |
      | late      | closed    | 0    | right               | 2        | 0.4   | 0.55 |

  Scenario: a read that is overdue is not sent again on a connection that was open before
    # What made one connection silent may hold for all that were open.
    Given hedged peer whose attempts are answered, and after that answered
    And hedged peer's open connections become silent after 2 reads at once
    When hedged peer is sent a read that it may hold for 0 s
    Then hedged read ends as right after 2 attempts
    And hedged read took between 0.2 and 0.35 s
