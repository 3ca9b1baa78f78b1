Feature: Gateway decisions after an attempt
  A non-idempotent request that is retried after a worker may have run it runs
  twice. A caller that is told "not run" repeats its request, so "not run" must
  only be said of a request that no worker can have run.

  Scenario Outline: <kind> after <verdict> with <sent> of <most> attempts sent leads to <action>
    Given gateway with a request of kind <kind> for at most <most> attempts
    When gateway's attempts end in <verdict>
    Then gateway's next action is <action>
    And gateway's caller receives the failure <failure>

    Examples:
      | kind           | most | sent | verdict                  | action | failure         |
      | idempotent     | 2    | 1    | reset_before_answer      | retry  | -               |
      | idempotent     | 2    | 2    | reset_before_answer, reset_before_answer | fail | upstream_failed |
      | idempotent     | 2    | 1    | upstream_error           | retry  | -               |
      | idempotent     | 1    | 1    | upstream_error           | answer | -               |
      | idempotent     | 2    | 1    | upstream_busy            | retry  | -               |
      | idempotent     | 2    | 2    | upstream_busy, upstream_busy | fail | not_run       |
      | idempotent     | 2    | 2    | reset_before_answer, upstream_busy | fail | upstream_failed |
      | non_idempotent | 1    | 1    | reset_before_answer      | fail   | upstream_failed |
      | non_idempotent | 2    | 1    | reset_before_answer      | fail   | upstream_failed |
      | non_idempotent | 2    | 1    | silent                   | fail   | upstream_failed |
      | non_idempotent | 2    | 1    | crossed_answer           | fail   | upstream_failed |
      | non_idempotent | 2    | 1    | truncated                | fail   | upstream_failed |
      | non_idempotent | 1    | 1    | upstream_busy            | fail   | not_run         |
      | non_idempotent | 2    | 1    | upstream_busy            | retry  | -               |
      | non_idempotent | 2    | 1    | misdirected              | retry  | -               |
      | non_idempotent | 1    | 0    | connect_failed           | retry  | -               |
      | non_idempotent | 1    | 0    | connect_failed, connect_failed, connect_failed, connect_failed | fail | not_run |
      | non_idempotent | 2    | 1    | upstream_error           | answer | -               |
      | stream         | 2    | 1    | truncated                | fail   | upstream_failed |
      | resumable      | 2    | 1    | truncated                | retry  | -               |
      | resumable      | 2    | 1    | silent                   | retry  | -               |
      | idempotent     | 2    | 1    | answered                 | answer | -               |

  Scenario Outline: a response <status> that is <property> gets the verdict <verdict>
    When gateway receives a response <status> that is <property>
    Then gateway's verdict is <verdict>

    Examples:
      | status | property         | verdict        |
      | 200    | complete         | answered       |
      | 404    | complete         | answered       |
      | 500    | complete         | upstream_error |
      | 200    | of another request | crossed_answer |
      | 200    | unsealed         | truncated      |
      | 200    | encoded          | truncated      |
      | 503    | not run          | upstream_busy  |
      | 421    | misdirected by another worker | misdirected |
      | 421    | misdirected by the same worker | upstream_busy |
      | 421    | misdirected without an instance id | upstream_busy |
      | 503    | not run, of another request  | crossed_answer |
      | 421    | misdirected, of another request | crossed_answer |
      | 503    | not run, without an id       | upstream_busy |

  Scenario Outline: on a kept connection, a response <status> that is <property> gets the verdict <verdict>
    # A refusal of an earlier request, sent once more, says nothing about the
    # request that now uses the connection.
    When gateway receives on a kept connection a response <status> that is <property>
    Then gateway's verdict is <verdict>

    Examples:
      | status | property                     | verdict        |
      | 503    | not run                      | upstream_busy  |
      | 503    | not run, without an id       | crossed_answer |
      | 503    | not run, of another request  | crossed_answer |
      | 421    | misdirected, without an id   | crossed_answer |
      | 421    | misdirected by another worker | misdirected   |

  Scenario Outline: a refusal as <kind> with <left> s left names a retry time from <first> to <last>
    # Callers wait for a third of their remaining time at most.
    When gateway refuses a request as <kind> with <left> s left
    Then gateway's refusal names a retry time from <first> to <last>

    Examples:
      | kind            | left | first | last |
      | overloaded      | 6.0  | 0.4   | 1.8  |
      | overloaded      | 0.6  | 0.18  | 0.18 |
      | overloaded      | 60.0 | 0.4   | 4.0  |
      | no_upstream     | 6.0  | 1.2   | 1.8  |
      | no_upstream     | 3.0  | 0.9   | 0.9  |
      | no_upstream     | -1.0 | 0.0   | 0.0  |
      | upstream_failed | 6.0  | none  | none |
      | timeout         | 0.0  | none  | none |

  Scenario Outline: of <callers> callers at once for <slots> slots of <busy> s each, at least <served> are served
    # Load pattern: a burst that fills all workers. Callers that came back all
    # at once, 0.4 s later, found the same requests still running.
    When gateway's callers return once after a burst of <callers> at <slots> slots of <busy> s
    Then gateway's workers serve at least <served> of them, and more than with one retry time for all

    Examples:
      | callers | slots | busy | served |
      | 100     | 20    | 0.5  | 70     |
      | 100     | 20    | 0.7  | 55     |
      | 60      | 20    | 0.9  | 40     |

  Scenario Outline: a refusal with <left> s left, all workers pausing for <pause> s, names a retry time of <back> s
    # A caller that comes back before the pause ends is refused again.
    When gateway refuses a request with <left> s left whose workers all pause for <pause> s
    Then gateway's refusal names a retry time of <back>

    Examples:
      | left | pause | back |
      | 6.0  | 0.9   | 0.9  |
      | 6.0  | 5.0   | 5.0  |
      | 0.5  | 5.0   | 5.0  |

  Scenario Outline: a <kind> stream with goals of <goal> s and <gap> s times out after <first> s, then after <next> s
    # Slow but sound streams must not be cut: not where a deployment allows for
    # longer times, and not where no other worker may continue them.
    Given gateway with a <kind> stream for at most <most> attempts, goals of <goal> s and <gap> s
    Then gateway's worker may be silent for <first> s before the first event
    And gateway's worker may be silent for <next> s between two events

    Examples: streams that another worker may continue
      | kind      | most | goal | gap | first | next |
      | resumable | 2    | 0.4  | 0.3 | 1.3   | 1.0  |
      | resumable | 2    | 0.6  | 0.5 | 1.3   | 1.0  |
      | resumable | 2    | 2.0  | 1.5 | 4.0   | 3.0  |
      | resumable | 2    | 0.04 | 0.0 | 1.3   | 1.0  |
      | resumable | 2    | 9.0  | 0.3 | 6.0   | 1.0  |

    Examples: streams that no other worker may continue
      | kind      | most | goal | gap | first | next |
      | stream    | 2    | 0.4  | 0.3 | 6.0   | 6.0  |
      | resumable | 1    | 0.4  | 0.3 | 6.0   | 6.0  |

  Scenario Outline: a stream in parts <parts> is passed on as <events>
    When gateway splits the parts <parts>
    Then gateway passed on <events> with the last id <id>

    Examples:
      | parts                        | events           | id |
      | id: 1~data: a~~              | id: 1~data: a~~  | 1  |
      | id: 1~da + ta: a~~           | id: 1~data: a~~  | 1  |
      | id: 1~data: a~~id: 2~data    | id: 1~data: a~~  | 1  |
      | id: 1~data: a~ + ~id: 2~~x   | id: 1~data: a~~id: 2~~ | 2 |
      | data: a~~                    | data: a~~        | -  |
