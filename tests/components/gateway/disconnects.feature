Feature: Callers that disconnect, and attempts that must start in time
  A caller that disconnects repeats its request elsewhere. The abandoned request
  must not reach a worker, where it would only occupy a slot. A request that
  starts too late would run on a version that may no longer be served.

  Scenario Outline: a request that is <kind> whose caller disconnects <moment>
    Given gateway serves a request that is <kind> while dispatch selects a worker
    When gateway's caller disconnects <moment>
    Then gateway <sends> the request to the worker
    And gateway <cancels> it at the worker

    Examples:
      | kind           | moment             | sends         | cancels         |
      | idempotent     | before it is sent  | does not send | does not cancel |
      | non_idempotent | before it is sent  | does not send | does not cancel |
      | idempotent     | after it was sent  | sends         | cancels         |
      | non_idempotent | after it was sent  | sends         | does not cancel |

  Scenario: a process survives requests that are refused after their callers have left
    # The event loop aborts the process if the wait for a caller's disconnect
    # outlives the connection; all requests in progress are lost with it.
    When gateway's process refuses 2000 requests, each of a caller that has left
    Then gateway's process ends with code 0

  Scenario Outline: a connection whose request <state> when the process interrupts requests is <outcome>
    # The interruption of a request that has ended must not concern the next
    # request on its connection.
    Given gateway serves a request that is idempotent while dispatch selects a worker
    When gateway interrupts the request, which <state>
    Then gateway's connection is <outcome>

    Examples:
      | state              | outcome         |
      | waits for a worker | interrupted     |
      | has ended          | not interrupted |

  Scenario Outline: a request that must start <by> is <outcome> if its connection opens after <opens> s
    # A connection may take up to one second to open, and the start deadline may
    # pass meanwhile.
    Given gateway serves a request that is resumable while dispatch selects a worker
    And gateway's worker takes <opens> s to accept a connection
    When gateway's worker must start <by> and is silent
    Then gateway <sends> the request to the worker

    Examples: a connection that opens too late
      | by          | opens | outcome  | sends         |
      | in 0.05 s   | 0.2   | not sent | does not send |

    Examples: a connection that opens in time
      | by          | opens | outcome  | sends         |
      | in 0.05 s   | 0     | sent     | sends         |
      | at any time | 0.2   | sent     | sends         |

  Scenario Outline: a host suspended for <suspended> s while a connection opens <sends> a request that must start in 3 s
    # The monotonic clock does not advance during a suspension, but the start
    # deadline goes by the boot-time clock, which does.
    Given gateway serves a request that is resumable while dispatch selects a worker
    And gateway's host is suspended for <suspended> s while a connection opens
    When gateway's worker must start in 3 s and is silent
    Then gateway <sends> the request to the worker

    Examples:
      | suspended | sends         |
      | 0         | sends         |
      | 5         | does not send |

  Scenario Outline: a request that is <kind> and must start <by> is tried <count> times
    Given gateway serves a request that is <kind> while dispatch selects a worker
    When gateway's worker must start <by> and is silent
    Then gateway requested <count> workers from dispatch

    Examples:
      # After 0.05 s it would start on a version that may no longer be served.
      | kind       | by          | count |
      | resumable  | in 0.05 s   | 2     |
      | resumable  | at any time | 1     |
      # The start of its response can't be observed, so giving up after 0.05 s
      # could lose a response that is on its way.
      | idempotent | in 0.05 s   | 1     |
