Feature: Attempts whose worker is silent for a while
  A silence is a reason to look for another worker. The entry host ended the
  silent attempt before another worker had responded, so that callers lost
  responses whose workers went on. Silences count after 0.2 s in streams, and
  after 0.4 of the time limit of 1.5 s for other repeatable requests.

  Scenario Outline: a <kind> request whose worker 1 sends <first>, and worker 2 <second>, ends as <response>
    Given gateway's worker 1 sends <first>
    And worker 2 <second>
    When gateway is sent a <kind> request for at most 2 attempts
    Then the caller receives <response>
    And the workers ran it <runs> times
    And each attempt ended once, as <verdicts>
    And no task of the request is left

    Examples: no other worker goes on with the stream
      | kind      | first                            | second                   | response   | runs | verdicts                      |
      | resumable | event 1, pause 0.6, event 2, end | is full                  | events 1 2 | 1 0  | answered                      |
      | resumable | event 1, pause 0.6, event 2, end | is missing               | events 1 2 | 1 0  | answered                      |
      | resumable | event 1, pause 0.6, event 2, end | is over the budget       | events 1 2 | 1 0  | answered                      |
      | resumable | event 1, pause 0.6, event 2, end | sends a refusal          | events 1 2 | 1 1  | answered, upstream_busy       |
      | resumable | event 1, pause 0.6, event 2, end | sends a failure          | events 1 2 | 1 1  | answered, upstream_error |
      | resumable | event 1, pause 0.6, event 2, end | sends body               | events 1 2 | 1 1  | answered, truncated |
      | resumable | event 1, pause 0.6, event 2, end | sends close              | events 1 2 | 1 1  | answered, reset_before_answer |
      | resumable | event 1, pause 0.6, event 2, end | sends head, close        | events 1 2 | 1 1  | answered, truncated           |
      | resumable | event 1, pause 0.6, event 2, end | sends pause 9            | events 1 2 | 1 1  | answered, superseded          |
      | resumable | event 1, pause 0.6, event 2, end | sends half of event 2, pause 9 | events 1 2 | 1 1 | answered, superseded     |
      | resumable | event 1, pause 0.6, end          | sends pause 9            | events 1   | 1 1  | answered, superseded          |
      | resumable | event 1, pause 9                 | is full                  | broken after events 1 | 1 0 | silent              |
      | resumable | event 1, pause 9                 | sends pause 9            | broken after events 1 | 1 1 | silent, silent      |

    Examples: both workers go on with the stream
      | kind      | first                            | second                   | response   | runs | verdicts             |
      | resumable | event 1, pause 9                 | sends event 2, end       | events 1 2 | 1 1  | silent, answered     |
      | resumable | event 1, pause 0.5, event 2, end | sends event 2, event 3, end | events 1 2 3 | 1 1 | silent, answered    |
      | resumable | event 1, pause 0.5, event 2, end | sends pause 0.5, event 2, end | events 1 2 | 1 1 | answered, superseded |
      | resumable | event 1, pause 0.35, event 2, event 3, end | is selected late, event 2, end | events 1 2 3 | 1 0 | answered, superseded |
      | resumable | event 1, half of event 2, pause 9 | sends event 2, end      | events 1 2 | 1 1  | silent, answered     |
      | resumable | event 1, pause 0.3, half of event 2, pause 0.5, the rest of it, end | sends pause 0.3, event 2, end | events 1 2 | 1 1 | silent, answered |
      | resumable | event 1, pause 0.4, close        | sends pause 0.5, event 2, end | events 1 2 | 1 1 | truncated, answered |
      | resumable | event 1, pause 9                 | sends event 2, close     | broken after events 1 2 | 1 1 | silent, truncated |

    Examples: bytes that arrive while another worker is selected
      # They can be delivered, or are a part that leaves the worker silent.
      | kind      | first                                      | second                           | response   | runs | verdicts             |
      | resumable | event 1, pause 0.35, event 2, pause 0.4, end | is selected late, event 2, end | events 1 2 | 1 0  | answered, superseded |
      | resumable | event 1, pause 0.35, half of event 2, pause 9 | is selected late, event 2, end | events 1 2 | 1 1 | silent, answered    |

    Examples: before the first event
      | kind      | first                                  | second               | response   | runs | verdicts             |
      | resumable | pause 0.6, event 1, event 2, end       | is full              | events 1 2 | 1 0  | answered             |
      | resumable | head, pause 0.6, event 1, event 2, end | is over the budget   | events 1 2 | 1 0  | answered             |
      | resumable | pause 0.6, event 1, event 2, end       | sends a refusal      | events 1 2 | 1 1  | answered, upstream_busy |
      | resumable | pause 0.6, event 1, event 2, end       | sends close          | events 1 2 | 1 1  | answered, reset_before_answer |
      | resumable | pause 0.6, event 1, event 2, end       | sends pause 9        | events 1 2 | 1 1  | answered, superseded |
      | resumable | pause 9                                | sends event 1, end   | events 1   | 1 1  | silent, answered     |
      | resumable | half of event 1, pause 9               | sends event 1, end   | events 1   | 1 1  | silent, answered     |
      | resumable | pause 0.4, a refusal                   | sends pause 0.5, event 1, end | events 1 | 1 1 | upstream_busy, answered |
      | resumable | pause 9                                | is full              | 504        | 1 0  | silent               |

    Examples: idempotent requests
      | kind       | first                            | second                 | response | runs | verdicts             |
      | idempotent | pause 0.9, body                  | is full                | 200      | 1 0  | answered             |
      | idempotent | half a body, pause 0.9, its rest | is missing             | 200      | 1 0  | answered             |
      | idempotent | pause 0.9, body                  | is over the budget     | 200      | 1 0  | answered             |
      | idempotent | pause 0.9, body                  | sends a refusal        | 200      | 1 1  | answered, upstream_busy |
      | idempotent | pause 0.9, body                  | sends a failure        | 200      | 1 1  | answered, upstream_error |
      | idempotent | pause 0.9, body                  | sends pause 0.6, body  | 200      | 1 1  | answered, superseded |
      | idempotent | half a body, pause 9             | sends body             | 200      | 1 1  | silent, answered     |
      | idempotent | pause 9                          | sends pause 0.2, body  | 200      | 1 1  | silent, answered     |
      | idempotent | pause 9                          | is full                | 504      | 1 0  | silent               |

    Examples: requests that may run once
      | kind           | first                            | second             | response   | runs | verdicts |
      | non_idempotent | pause 0.9, body                  | sends body         | 200        | 1 0  | answered |
      | stream         | event 1, pause 0.6, event 2, end | sends event 2, end | events 1 2 | 1 0  | answered |
      | stream         | pause 0.6, event 1, event 2, end | sends event 1, end | events 1 2 | 1 0  | answered |

  Scenario Outline: a <kind> request whose worker 1 sends <first> is delivered by worker 2 within <limit> s
    # Guards against an attempt that delays the response of another one with a
    # part that can't be delivered.
    Given gateway's worker 1 sends <first>
    And worker 2 sends <second>
    When gateway is sent a <kind> request for at most 2 attempts
    Then the caller receives <response>
    And the response took at most <limit> s
    And dispatch was told that workers 1 are silent

    Examples:
      | kind       | first                                | second                   | response | limit |
      | resumable  | pause 0.25, head, pause 9            | pause 0.1, event 1, end  | events 1 | 0.4   |
      | resumable  | parts without end                    | pause 0.1, event 1, end  | events 1 | 0.4   |
      | resumable  | pause 0.25, half of event 1, pause 9 | pause 0.1, event 1, end  | events 1 | 0.4   |
      | idempotent | pause 0.65, half a body, pause 9     | pause 0.15, body         | 200      | 0.85  |

  Scenario Outline: a stream whose workers 1 and 2 are silent ends as <response> with a third that <third>
    # Guards against more attempts than the route allows, and against a second
    # worker that is let go before a third one has responded.
    Given gateway's worker 1 sends event 1, <first>
    And worker 2 sends <second>
    And worker 3 <third>
    When gateway is sent a resumable request for at most <most> attempts
    Then the caller receives <response>
    And the workers ran it <runs> times
    And each attempt ended once, as <verdicts>
    And no task of the request is left

    Examples:
      | first              | second                  | third              | most | response   | runs  | verdicts                         |
      | pause 9            | pause 9                 | sends event 2, end | 3    | events 1 2 | 1 1 1 | silent, superseded, answered     |
      | pause 9            | pause 9                 | sends event 2, end | 2    | broken after events 1 | 1 1 0 | silent, silent        |
      | pause 9            | a refusal               | sends event 2, end | 3    | events 1 2 | 1 1 1 | silent, upstream_busy, answered  |
      | pause 0.4, close   | pause 9                 | sends event 2, end | 3    | events 1 2 | 1 1 1 | truncated, superseded, answered  |
      | pause 9            | pause 0.6, event 2, end | is full            | 3    | events 1 2 | 1 1 0 | silent, answered                 |
      | pause 9            | event 2, pause 0.6, event 3, end | is full   | 3    | events 1 2 3 | 1 1 0 | silent, answered               |

  Scenario Outline: a <kind> request ends as <response> if <leave> while both workers are silent
    # Guards against work that goes on for nobody, and against attempts that
    # dispatch counts for ever.
    Given gateway's worker 1 sends <first>
    And worker 2 sends <second>
    When gateway is sent a <kind> request, and <leave> while both are silent
    Then the caller receives <response>
    And each attempt ended once, as <verdicts>
    And worker 1 was cancelled
    And worker 2 was cancelled
    And no task of the request is left
    And the log says cause=<cause> on request_ended
    And dispatch was told that workers 1 are silent

    Examples:
      | kind      | leave                     | first            | second                   | response              | verdicts                | cause       |
      | resumable | the caller leaves         | event 1, pause 9 | pause 9                  | broken after events 1 | caller_left, caller_left | caller_left |
      | resumable | the caller leaves         | event 1, pause 9 | half of event 2, pause 9 | broken after events 1 | caller_left, caller_left | caller_left |
      | resumable | the process interrupts it | event 1, pause 9 | pause 9                  | broken after events 1 | caller_left, caller_left | stopping    |
      # The request may have run at both workers.
      | resumable | the process interrupts it | pause 9          | pause 9                  | 504                   | caller_left, caller_left | -           |

  Scenario: a stream that goes on at another worker is asked for after the event that its caller has
    Given gateway's worker 1 sends event 1, event 2, half of event 3, pause 9
    And worker 2 sends event 3, event 4, end
    When gateway is sent a resumable request for at most 2 attempts
    Then the caller receives events 1 2 3 4
    And worker 2 was asked for what follows event 2
    And worker 1 was cancelled
    And dispatch was asked for the reasons first, silent
    And the log says after_event=2 on attempt_silent
    And the log says instance=w1 on attempt_silent
    And the log says found=w2 on attempt_silent
    And the log says after_event=2 on stream_resumed

  Scenario Outline: a silence is logged with what was found instead, as <found>
    Given gateway's worker 1 sends event 1, <first>
    And worker 2 <second>
    When gateway is sent a resumable request for at most <most> attempts
    Then the log says found=<found> on attempt_silent
    And the log says cause=<cause> on request_ended

    Examples:
      | first                   | second             | most | found                  | cause                          |
      | pause 0.35, event 2, end | is full            | 2    | overloaded             | -                              |
      | pause 0.35, event 2, end | is over the budget | 2    | retry_budget_empty     | -                              |
      | pause 0.35, event 2, end | is selected late   | 2    | w2                     | -                              |
      | pause 9                 | sends a refusal    | 2    | w2, no attempt may follow | silent, no attempt may follow |

  Scenario: a stream that breaks after a silence asks for another worker for the reason that ended it
    Given gateway's worker 1 sends event 1, close
    And worker 2 sends event 2, end
    When gateway is sent a resumable request for at most 2 attempts
    Then the caller receives events 1 2
    And dispatch was asked for the reasons first, truncated
    And the log says after_event=1 on stream_resumed

  Scenario: a request that ends as its second attempt starts gives both workers back
    Given gateway's worker 1 sends event 1, pause 9
    And worker 2 sends event 2, end
    When gateway is sent a request that is interrupted as worker 2 is selected
    Then the caller receives broken after events 1
    And the workers ran it 1 0 times
    And each attempt ended once, as caller_left, caller_left
    And no task of the request is left

  Scenario Outline: a silent stream that must begin in 0.5 s is ended then, and worker 2 <second>
    # A stream that begins later may run on a version that must not be served.
    Given gateway's worker 1 sends pause 0.9, event 1, end
    And worker 2 <second>
    When gateway is sent a resumable request that must begin in 0.5 s
    Then the caller receives <response>
    And each attempt ended once, as <verdicts>
    And worker 1 was cancelled

    Examples:
      | second                             | response | verdicts                |
      | is full                            | 502      | begin_overdue           |
      | sends pause 0.6, event 1, end      | events 1 | begin_overdue, answered |
