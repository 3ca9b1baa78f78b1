Feature: Workers whose answers do not end
  A caller must get a whole answer or an honest failure in time, also when a
  worker sends bytes without end, and dispatch must learn of the worker.

  Scenario Outline: a request that is <kind> after endless <part>
    Given gateway's first worker sends endless <part>
    When gateway is sent a request that is <kind> for at most <most> workers
    Then gateway's caller gets <answer> within 1.5 s
    And gateway told dispatch of <verdicts>
    And gateway closed the connection of the first worker

    Examples:
      | kind           | most | part                     | answer       | verdicts                   |
      | idempotent     | 2    | body                     | 200          | answer_too_large, answered |
      | idempotent     | 1    | body                     | 502          | answer_too_large           |
      | non_idempotent | 2    | body                     | 502          | answer_too_large           |
      | idempotent     | 2    | header                   | 200          | reset_before_answer, answered |
      | non_idempotent | 2    | header                   | 502          | reset_before_answer        |
      | idempotent     | 2    | failure                  | 200          | answer_too_large, answered |
      | non_idempotent | 1    | failure                  | 502          | answer_too_large           |
      # What was not run may be sent elsewhere, or refused as not run.
      | idempotent     | 2    | refusal                  | 200          | upstream_busy, answered    |
      | non_idempotent | 2    | refusal                  | 200          | upstream_busy, answered    |
      | non_idempotent | 1    | refusal                  | 503          | upstream_busy              |
      | non_idempotent | 2    | misdirection             | 200          | upstream_busy, answered    |
      | idempotent     | 2    | answer to another        | 200          | crossed_answer, answered   |
      | non_idempotent | 2    | answer to another        | 502          | crossed_answer             |
      | idempotent     | 2    | unsealed body            | 200          | truncated, answered        |
      | resumable      | 2    | event                    | whole stream | answer_too_large, answered |
      | stream         | 2    | event                    | 502          | answer_too_large           |

  Scenario Outline: a request that is <kind> after endless <part> in small pieces
    # Each piece would begin the time of silence anew, until no time is left
    # for a second worker.
    Given gateway's first worker sends endless <part> in small pieces
    When gateway is sent a request that is <kind> for at most <most> workers
    Then gateway's caller gets <answer> within 1.8 s
    And gateway told dispatch of <verdicts>
    And gateway closed the connection of the first worker

    Examples:
      | kind           | most | part              | answer       | verdicts                 |
      | idempotent     | 2    | header            | 200          | silent, answered         |
      | idempotent     | 2    | unframed body     | 200          | silent, answered         |
      | idempotent     | 2    | chunks            | 200          | silent, answered         |
      | idempotent     | 2    | refusal           | 200          | upstream_busy, answered  |
      | non_idempotent | 2    | refusal           | 200          | upstream_busy, answered  |
      | idempotent     | 2    | answer to another | 200          | crossed_answer, answered |
      | resumable      | 2    | event             | whole stream | silent, answered         |

  Scenario Outline: a request that is <kind> ends at its deadline after endless <part>
    Given gateway's first worker sends endless <part> in small pieces
    When gateway is sent a request that is <kind> for at most 2 workers
    Then gateway's caller gets <answer> within 2.4 s
    And gateway told dispatch of silent
    And gateway closed the connection of the first worker

    Examples:
      | kind           | part          | answer        |
      | non_idempotent | unframed body | 504           |
      | resumable      | whole events  | broken stream |

  Scenario Outline: a whole <answer> that is followed by endless <part>
    # It is the worker's answer; what follows belongs to no request.
    Given gateway's first worker sends a whole <answer> and endless <part>
    When gateway is sent a request that is non_idempotent for at most 1 workers
    Then gateway's caller gets 200 within 1 s
    And gateway told dispatch of answered
    And gateway closed the connection of the first worker

    Examples:
      | answer         | part    |
      | answer         | garbage |
      | answer         | answers |
      | answer         | zeros   |
      | closing answer | garbage |
      | closing answer | answers |
      | closing answer | zeros   |

  Scenario: many endless bodies at once leave memory for the rest
    # Each of them may take 8 MiB, and an entry host has 200 MB.
    Given gateway's first worker sends endless body
    When gateway is sent 40 requests at once that only the first worker takes
    Then gateway held at most 100 MB for them
    And gateway answered each of them with 502
    And gateway holds no room for answers

  Scenario Outline: an answer of <size> bytes while others hold <held> is <fate>
    Given gateway's requests hold <held> bytes of answers
    When gateway asks for room for <size> bytes for <asker>
    Then gateway's room is <fate>

    Examples:
      | held              | asker       | size    | fate    |
      | 0                 | another     | 8388608 | granted |
      | 41943040          | another     | 8388608 | granted |
      | 41943040, 1048576 | another     | 8388608 | refused |
      | 41943040, 1048576 | the second  | 8388608 | granted |
      # Room is free again once its request has ended.
      | 41943040, 8388608 | another after the second ended | 8388608 | granted |
