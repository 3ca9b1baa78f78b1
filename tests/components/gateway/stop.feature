Feature: Connections of callers during a planned stop
  When the balancer has removed a stopping entry host, it closes the connections
  that wait for a request. A request that had just arrived on one of them was
  cut off without an answer, because its connection still counted as idle.

  Scenario Outline: a connection that <state> when idle connections close ends with <response>
    Given gateway has a connection of a caller that <state>
    When gateway's service closes the idle connections
    Then gateway's caller on that connection receives <response>
    And gateway's connections have all ended within 1 s

    Examples: no request
      | state                                          | response         |
      | waits for its first request                    | nothing          |
      | waits for its second request                   | nothing          |

    Examples: a request
      | state                                          | response         |
      | has sent a request that is not read yet        | a whole response |
      | has sent half of a request line                | a whole response |
      | has sent a request whose start is not reported | a whole response |
      | runs a request                                 | a whole response |
      | has sent its second request, not read yet      | a whole response |

  Scenario Outline: a caller that has sent <size> more bytes <moment> its last response receives all of it
    # A connection that was closed with unread bytes was reset, so that the
    # caller lost what it had not received yet.
    Given gateway ends the connection of a caller that reads slowly
    When gateway responds, and its caller sends <size> more bytes <moment> the response
    Then gateway's caller has received the whole response
    And gateway's connections have all ended within 1 s

    Examples:
      | size    | moment |
      | 0       | before |
      | 100     | before |
      | 60000   | before |
      | 1000000 | before |
      | 0       | after  |
      | 60000   | after  |

  Scenario Outline: a caller that sends <size> bytes once its connection is closed as idle has its response
    # The response is written, but the caller has not received all of it.
    Given gateway ends the connection of a caller that reads slowly
    When gateway responds, closes the idle connections, and its caller sends <size> more bytes
    Then gateway's caller has received the whole response
    And gateway's connections have all ended within 1 s

    Examples:
      | size  |
      | 10    |
      | 60000 |

  Scenario Outline: in a planned stop, a <kind> request that <state> gets <response>
    # Requests were taken late in the grace period and passed on, and at its end
    # they were cut off without a response.
    Given gateway is stopping and has a <kind> request that <state>
    When gateway's grace period of 1.2 s ends
    Then gateway's caller gets <response> before the end
    And gateway's worker ran it <runs> times

    Examples:
      | kind           | state                                          | response        | runs |
      | non_idempotent | has sent half of its body at the refusal       | 503             | 0    |
      | idempotent     | has sent half of its body at the refusal       | 503             | 0    |
      | non_idempotent | waits for a worker                             | 503             | 0    |
      | non_idempotent | runs                                           | 504             | 1    |
      | idempotent     | runs                                           | 504             | 1    |
      | stream         | runs                                           | 504             | 1    |
      | stream         | has received an event                          | a broken stream | 1    |
      | non_idempotent | ends in time                                   | 200             | 1    |
