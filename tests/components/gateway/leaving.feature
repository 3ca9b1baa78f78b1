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

  Scenario Outline: a request that must begin <by> is <fate> over a connection that opens after <opens> s
    # A connection may take up to a second to open while the bound passes.
    Given gateway serves a request that is resumable while dispatch looks for a worker
    And gateway's worker takes <opens> s to accept a connection
    When gateway's worker has to begin <by> and is silent
    Then gateway <sends> the request to the worker

    Examples: a connection that opens too late
      | by          | opens | fate     | sends         |
      | in 0.05 s   | 0.2   | not sent | does not send |

    Examples: a connection that opens in time
      | by          | opens | fate     | sends         |
      | in 0.05 s   | 0     | sent     | sends         |
      | at any time | 0.2   | sent     | sends         |

  Scenario Outline: a host suspended for <suspended> s while a connection opens <sends> what must begin in 3 s
    # The monotonic clock stands still meanwhile, the bound does not.
    Given gateway serves a request that is resumable while dispatch looks for a worker
    And gateway's host is suspended for <suspended> s while a connection opens
    When gateway's worker has to begin in 3 s and is silent
    Then gateway <sends> the request to the worker

    Examples:
      | suspended | sends         |
      | 0         | sends         |
      | 5         | does not send |

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
