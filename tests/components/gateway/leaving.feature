Feature: Callers that leave
  A request whose caller has left must not reach a worker: the caller asks
  again elsewhere, and the first one would only take a place.

  Scenario Outline: a caller of a request that is <kind> leaves <moment>
    Given gateway serves a request that is <kind> while dispatch looks for a worker
    When gateway's caller leaves <moment>
    Then gateway <sends> the request to the worker
    And gateway <cancels> it at the worker

    Examples:
      | kind           | moment             | sends         | cancels         |
      | idempotent     | before it is sent  | does not send | does not cancel |
      | non_idempotent | before it is sent  | does not send | does not cancel |
      | idempotent     | after it was sent  | sends         | cancels         |
      | non_idempotent | after it was sent  | sends         | does not cancel |

  Scenario Outline: a request that is <kind> must begin <by>
    Given gateway serves a request that is <kind> while dispatch looks for a worker
    When gateway's worker has to begin <by> and is silent
    Then gateway asked dispatch for <count> workers

    Examples:
      # It would begin on a version that may not be served any more.
      | kind       | by          | count |
      | resumable  | in 0.05 s   | 2     |
      | resumable  | at any time | 1     |
      # Cutting an answer whose begin is not seen would lose it.
      | idempotent | in 0.05 s   | 1     |
