Feature: Workers whose responses do not end
  A worker that sends bytes without end must not use up the time or memory of
  the entry host. The caller receives a complete response or an error in time,
  and dispatch receives the verdict on the worker.

  Scenario Outline: a request that is <kind> gets <response> after endless <part>
    Given gateway's first worker sends endless <part>
    When gateway is sent a request that is <kind> for at most <most> attempts
    Then gateway's caller receives <response> within 1.5 s
    And gateway reported <verdicts> to dispatch
    And gateway closed the connection of the first worker

    Examples:
      | kind           | most | part                        | response        | verdicts                      |
      | idempotent     | 2    | body                        | 200             | answer_too_large, answered    |
      | idempotent     | 1    | body                        | 502             | answer_too_large              |
      | non_idempotent | 2    | body                        | 502             | answer_too_large              |
      | idempotent     | 2    | header                      | 200             | reset_before_answer, answered |
      | non_idempotent | 2    | header                      | 502             | reset_before_answer           |
      | idempotent     | 2    | failure                     | 200             | answer_too_large, answered    |
      | non_idempotent | 1    | failure                     | 502             | answer_too_large              |
      # A request that was not run may be retried, or refused as not run.
      | idempotent     | 2    | refusal                     | 200             | upstream_busy, answered       |
      | non_idempotent | 2    | refusal                     | 200             | upstream_busy, answered       |
      | non_idempotent | 1    | refusal                     | 503             | upstream_busy                 |
      | non_idempotent | 2    | misdirection                | 200             | upstream_busy, answered       |
      | idempotent     | 2    | response to another request | 200             | crossed_answer, answered      |
      | non_idempotent | 2    | response to another request | 502             | crossed_answer                |
      | idempotent     | 2    | unsealed body               | 200             | truncated, answered           |
      | resumable      | 2    | event                       | complete stream | answer_too_large, answered    |
      | stream         | 2    | event                       | 502             | answer_too_large              |

  Scenario Outline: a request that is <kind> gets <response> after endless <part> in small pieces
    # If each piece restarted the silence limit, no time would be left for a
    # second worker.
    Given gateway's first worker sends endless <part> in small pieces
    When gateway is sent a request that is <kind> for at most <most> attempts
    Then gateway's caller receives <response> within 1.8 s
    And gateway reported <verdicts> to dispatch
    And gateway closed the connection of the first worker

    Examples:
      | kind           | most | part                        | response        | verdicts                 |
      | idempotent     | 2    | header                      | 200             | silent, answered         |
      | idempotent     | 2    | unframed body               | 200             | silent, answered         |
      | idempotent     | 2    | chunks                      | 200             | silent, answered         |
      | idempotent     | 2    | refusal                     | 200             | upstream_busy, answered  |
      | non_idempotent | 2    | refusal                     | 200             | upstream_busy, answered  |
      | idempotent     | 2    | response to another request | 200             | crossed_answer, answered |
      | resumable      | 2    | event                       | complete stream | silent, answered         |

  Scenario Outline: a request that is <kind> ends as <response> at its deadline after endless <part>
    Given gateway's first worker sends endless <part> in small pieces
    When gateway is sent a request that is <kind> for at most 2 attempts
    Then gateway's caller receives <response> within 2.4 s
    And gateway reported silent to dispatch
    And gateway closed the connection of the first worker

    Examples:
      | kind           | part            | response      |
      | non_idempotent | unframed body   | 504           |
      | resumable      | complete events | broken stream |

  Scenario Outline: a complete <response> that is followed by endless <part>
    # The caller receives the complete response. The bytes after it belong to
    # no request.
    Given gateway's first worker sends a complete <response> and endless <part>
    When gateway is sent a request that is non_idempotent for at most 1 attempts
    Then gateway's caller receives 200 within 1 s
    And gateway reported answered to dispatch
    And gateway closed the connection of the first worker

    Examples:
      | response         | part      |
      | response         | garbage   |
      | response         | responses |
      | response         | zeros     |
      | closing response | garbage   |
      | closing response | responses |
      | closing response | zeros     |

  Scenario: many endless bodies at once do not use up the memory of the host
    # Each body may have up to 8 MiB, and the smallest entry hosts have 200 MB.
    Given gateway's first worker sends endless body
    When gateway is sent 40 requests at once that only the first worker takes
    Then gateway allocated at most 100 MB for them
    And gateway responded to each of them with 502
    And gateway has no memory reserved for responses

  Scenario Outline: a reservation of <size> bytes while others hold <held> is <reply>
    Given gateway's requests have reserved <held> bytes
    When gateway is asked to reserve <size> bytes for <asker>
    Then gateway's reservation is <reply>

    Examples:
      | held              | asker       | size    | reply   |
      | 0                 | another     | 8388608 | granted |
      | 41943040          | another     | 8388608 | granted |
      | 41943040, 1048576 | another     | 8388608 | refused |
      | 41943040, 1048576 | the second  | 8388608 | granted |
      # The end of a request frees its reserved memory.
      | 41943040, 8388608 | another after the second ended | 8388608 | granted |
