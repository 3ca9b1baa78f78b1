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

  Scenario Outline: a worker responds with <answer>: the order is <order>
    # What is taken for refused, but takes effect later, loads wrong pieces.
    Given a worker that responds to each call with <answer>
    When the agent sends it an order and a copy
    Then the order is <order> and the copy is <copy>

    Examples:
      | answer               | order                  | copy                   |
      | 202                  | begun                  | done                   |
      | 200                  | in_effect              | done                   |
      | 400                  | engine_refused         | engine_refused         |
      | 409                  | engine_refused         | engine_refused         |
      | 412                  | engine_refused         | engine_refused         |
      | 421                  | engine_refused         | engine_refused         |
      | 500                  | engine_outcome_unknown | engine_outcome_unknown |
      | 503                  | engine_outcome_unknown | engine_outcome_unknown |
      | nothing              | engine_outcome_unknown | engine_outcome_unknown |
      | a reset              | engine_outcome_unknown | engine_outcome_unknown |
      | a part of a response | engine_outcome_unknown | engine_outcome_unknown |
      | a refused connection | engine_unavailable     | engine_unavailable     |

  Scenario: a copy whose connection is reset is not repeated unseen
    # Both copies could take effect, and only the second would be known.
    Given a worker that responds to each call with 202 on its second use, then a reset
    When the agent sends it two copies on one connection
    Then the order is done and the copy is engine_outcome_unknown
    And the worker received 2 calls

  Scenario Outline: an agent starts beside a worker that responds with <answer>
    # A worker that listens may have received calls of an earlier agent.
    Given a worker that responds to each call with <answer>
    Then the worker counts as <state>

    Examples:
      | answer               | state     |
      | 200                  | listening |
      | nothing              | listening |
      | a refused connection | absent    |
