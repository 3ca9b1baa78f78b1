Feature: Micro-kernel
  Services call each other by name. A missing service, a full mailbox, a
  handler that raises an error and one that never replies must each end the
  call with a failure; otherwise the caller would wait for ever.

  Scenario Outline: a call returns a value or a failure
    Given a kernel with service "worker" that <behaviour>
    When "<name>" is called with <message>
    Then the call returns <expected>

    Examples:
      | behaviour     | name   | message   | expected     |
      | doubles       | worker | 21        | 42           |
      | doubles       | absent | 21        | unknown_name |
      | doubles       | worker | unhandled | internal     |
      | never replies | worker | 21        | timeout      |
      | fails         | worker | 21        | internal     |

  Scenario Outline: a full mailbox of 2 messages refuses further messages
    Given a kernel with service "worker" that doubles
    When <sent> messages are sent to "worker" at once
    Then <refused> sends are refused as mailbox_full

    Examples:
      | sent | refused |
      | 2    | 0       |
      | 5    | 3       |

  Scenario Outline: of <published> published messages the log names <dropped> that a full mailbox of 2 dropped
    # A service that misses a message goes on with what it knew before.
    Given a kernel with service "worker" that doubles
    When <published> messages are published at once
    Then the log names <dropped> messages that "worker" did not receive

    Examples:
      | published | dropped |
      | 2         | 0       |
      | 5         | 3       |
