Feature: Responses on connections that are used again
  A worker may send an earlier response once more, late, when another request
  uses the connection. If the gateway believed it, a caller would receive the
  response to another request, or a request that runs would be reported as not
  run and sent to a second worker.

  Scenario Outline: <kind> on a connection that repeats <earlier> of an earlier request ends as <response>
    Given gateway has a connection to a worker that sends <earlier> once more, <when>
    When gateway sends on it a request that is <kind> for at most 2 attempts
    Then gateway's caller receives <response> within 1.5 s
    And gateway reported <verdicts> to dispatch
    And gateway's request ran <runs> times

    Examples: with the next response
      | kind           | earlier                  | when                | response | verdicts                 | runs |
      | non_idempotent | a refusal                | before the response | 200      | answered                 | 1    |
      | non_idempotent | a misdirection           | before the response | 200      | answered                 | 1    |
      | non_idempotent | a response               | before the response | 200      | answered                 | 1    |
      | non_idempotent | two responses            | before the response | 200      | answered                 | 1    |
      | idempotent     | a refusal                | before the response | 200      | answered                 | 1    |
      | idempotent     | a response               | before the response | 200      | answered                 | 1    |
      | resumable      | a refusal                | before the response | complete stream | answered          | 1    |

    Examples: in place of the next response, while the request runs
      | kind           | earlier                  | when                | response | verdicts                 | runs |
      | non_idempotent | a refusal                | while it runs       | 200      | answered                 | 1    |
      | idempotent     | a response               | while it runs       | 200      | answered                 | 1    |

    Examples: a response to another request in place of its own
      | kind           | earlier                  | when                | response | verdicts                 | runs |
      | non_idempotent | a response               | without an own one  | 502      | crossed_answer           | 1    |
      | idempotent     | a response               | without an own one  | 200      | crossed_answer, answered | 2    |

    Examples: earlier responses whose end or request is not known
      | kind           | earlier                  | when                | response | verdicts                 | runs |
      | non_idempotent | a refusal without an id  | before the response | 502      | crossed_answer           | 1    |
      | non_idempotent | a response in chunks     | before the response | 502      | crossed_answer           | 1    |
      | non_idempotent | a long response          | before the response | 502      | crossed_answer           | 1    |
      | non_idempotent | half of a response       | before the end      | 502      | truncated                | 1    |
      | non_idempotent | three responses          | before the response | 502      | crossed_answer           | 1    |
      | idempotent     | a refusal without an id  | before the response | 200      | crossed_answer, answered | 2    |
      | idempotent     | a response in chunks     | while it runs       | 200      | crossed_answer, answered | 2    |

  Scenario Outline: a response with <header> is reported to dispatch as <reported>
    # Streams last for seconds: what the head states must not wait for the end.
    Given gateway's worker sends a <kind> response with <header>
    When gateway sends a request that is <kind> to that worker
    Then gateway reports <reported> to dispatch before the response ends

    Examples:
      | kind           | header            | reported    |
      | non_idempotent | Server-Leaving: 1 | leaving     |
      | resumable      | Server-Leaving: 1 | leaving     |
      | refused        | Retry-After: 1.5  | a pause of 1.5 s |
      | refused        | Server-Leaving: 1 | leaving     |
      | misdirected    | Server-Leaving: 1 | nothing     |
      | resumable      | Server-Leaving: 0 | nothing     |
