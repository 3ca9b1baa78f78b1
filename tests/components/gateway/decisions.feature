Feature: What follows an attempt
  A request that may not be repeated must never be sent twice, and "not run"
  must be said only when it is known.

  Scenario Outline: <kind> after <verdict> with <sent> workers asked of <most> is <action>
    Given gateway with a request of kind <kind> for at most <most> workers
    When gateway's attempts end in <verdict>
    Then gateway's next action is <action>
    And gateway's caller is told <told>

    Examples:
      | kind           | most | sent | verdict                  | action | told            |
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

  Scenario Outline: an answer <status> that is <property> counts as <verdict>
    When gateway judges an answer <status> that is <property>
    Then gateway's verdict is <verdict>

    Examples:
      | status | property         | verdict        |
      | 200    | whole            | answered       |
      | 404    | whole            | answered       |
      | 500    | whole            | upstream_error |
      | 200    | of another request | crossed_answer |
      | 200    | unsealed         | truncated      |
      | 200    | encoded          | truncated      |
      | 503    | not run          | upstream_busy  |
      | 421    | misdirected by another worker | misdirected |
      | 421    | misdirected by the same worker | upstream_busy |
      | 421    | misdirected by nobody | upstream_busy |

  Scenario Outline: a refusal as <kind> with <left> s left names <back> s
    When gateway refuses as <kind> with <left> s left
    Then gateway's caller is asked back after <back>

    Examples:
      | kind            | left | back |
      | overloaded      | 6.0  | 0.4  |
      | overloaded      | 0.6  | 0.18 |
      | no_upstream     | 6.0  | 1.2  |
      | upstream_failed | 6.0  | none |
      | timeout         | 0.0  | none |

  Scenario Outline: events in parts <parts> leave as <whole>
    When gateway splits the parts <parts>
    Then gateway passed on <whole> with the last id <id>

    Examples:
      | parts                        | whole            | id |
      | id: 1~data: a~~              | id: 1~data: a~~  | 1  |
      | id: 1~da + ta: a~~           | id: 1~data: a~~  | 1  |
      | id: 1~data: a~~id: 2~data    | id: 1~data: a~~  | 1  |
      | id: 1~data: a~ + ~id: 2~~x   | id: 1~data: a~~id: 2~~ | 2 |
      | data: a~~                    | data: a~~        | -  |
