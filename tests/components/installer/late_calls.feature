Feature: Calls of a worker that take effect late
  A call without a response may take effect later. An agent that has staged
  pieces of another version meanwhile would have its worker load these as the
  version of the earlier order.

  Scenario Outline: the first <call> takes effect <late> s late, and a newer version is declared
    Given a worker whose first <call> takes effect <late> s late, and its agent
    When version 3 is declared once the worker has received that call
    Then the worker has version 3 loaded within <within> s
    And the worker never loaded pieces of another version
    And no entry host was told a version that was not loaded right

    Examples:
      # The response comes up to 2 s after the call; then it is given up.
      | call           | late | within |
      | order          | 1.5  | 6      |
      | order          | 2.2  | 8      |
      | order          | 4    | 8      |
      | order          | 8    | 8      |
      | lost order     | 0    | 8      |
      | answered order | 0    | 6      |
      | copy           | 8    | 15     |

  Scenario: an order of an earlier agent takes effect while a new one stages another version
    Given a worker with version 2 staged, whose agent ended with an open order
    Then the worker has version 3 loaded within 14 s
    And the worker never loaded pieces of another version
    And no entry host was told a version that was not loaded right
