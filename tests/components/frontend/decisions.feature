Feature: Frontend decisions after an attempt
  A caller that is told "not run" sends its request again, so this must only be
  said if no attempt can have run. A non-idempotent request must never have a
  second attempt.

  Scenario Outline: after <verdict> a request that is <kind> continues with <step>
    Given frontend decisions for a request that is <kind>
    And frontend decided after <earlier> earlier attempts that <ran>
    When frontend decides after <verdict>, <sent>
    Then frontend decision is <step>

    Examples:
      | kind           | earlier | ran     | verdict             | sent     | step             |
      | idempotent     | 0       | none    | answered            | sent     | answer           |
      | idempotent     | 0       | none    | connect_failed      | not sent | retry            |
      | idempotent     | 3       | none    | connect_failed      | not sent | no_upstream      |
      | idempotent     | 3       | may run | connect_failed      | not sent | upstream_failed  |
      | idempotent     | 0       | none    | silent              | sent     | retry            |
      | idempotent     | 3       | may run | silent              | sent     | timeout          |
      | idempotent     | 3       | none    | reset_before_answer | sent     | upstream_failed  |
      | idempotent     | 3       | may run | crossed_answer      | sent     | upstream_failed  |
      | idempotent     | 0       | none    | upstream_busy       | refused  | retry            |
      | idempotent     | 3       | none    | upstream_busy       | refused  | not_run          |
      | idempotent     | 3       | may run | upstream_busy       | refused  | upstream_failed  |
      | idempotent     | 3       | may run | upstream_busy       | sent     | answer           |
      | idempotent     | 0       | none    | answer_too_large    | sent     | answer_too_large |
      | late           | 0       | none    | silent              | sent     | timeout          |
      | late           | 0       | none    | connect_failed      | not sent | no_upstream      |
      | delivered      | 1       | may run | truncated           | sent     | upstream_failed  |
      | resumable      | 1       | may run | truncated           | sent     | retry            |
      | resumable      | 3       | may run | truncated           | sent     | upstream_failed  |
      | non_idempotent | 0       | none    | connect_failed      | not sent | not_run          |
      | non_idempotent | 0       | none    | upstream_busy       | refused  | not_run          |
      | non_idempotent | 0       | none    | reset_before_answer | sent     | outcome_unknown  |
      | non_idempotent | 0       | none    | silent              | sent     | outcome_unknown  |
      | non_idempotent | 0       | none    | crossed_answer      | sent     | outcome_unknown  |
      | non_idempotent | 0       | none    | truncated           | sent     | outcome_unknown  |
      | non_idempotent | 0       | none    | answer_too_large    | sent     | answer_too_large |

  Scenario Outline: a retry without upstream after <verdict> ends as <kind>
    Given frontend decisions for a request that is idempotent
    When frontend decides after <verdict>, <sent>
    And frontend gets no upstream because of <refusal>
    Then frontend decision is <kind>

    Examples:
      | verdict             | sent     | refusal            | kind               |
      | connect_failed      | not sent | no_upstream        | no_upstream        |
      | connect_failed      | not sent | retry_budget_empty | retry_budget_empty |
      | upstream_busy       | refused  | no_upstream        | no_upstream        |
      | reset_before_answer | sent     | no_upstream        | upstream_failed    |
      | silent              | sent     | no_upstream        | timeout            |
      | reset_before_answer | sent     | mailbox_full       | upstream_failed    |
      | reset_before_answer | sent     | retry_budget_empty | retry_budget_empty |

  Scenario Outline: a selection made <age_s> s ago with <left_s> s left leads to <freshness>
    When frontend checks a selection made <age_s> s ago with <left_s> s left
    Then frontend decision is <freshness>

    Examples:
      | age_s | left_s | freshness    |
      | 0     | 5      | send         |
      | 0.9   | 5      | send         |
      | 1.1   | 5      | choose_again |
      | 0.1   | 0      | too_late     |
      | 30    | -1     | too_late     |

  Scenario Outline: a <connection> connection that ended in <verdict> is <health>
    When frontend derives health from <verdict> on a <connection> connection
    Then frontend decision is <health>

    Examples:
      | verdict          | connection | health   |
      | answered         | new        | works    |
      | answered         | reused     | works    |
      | silent           | new        | failed   |
      | silent           | reused     | unjudged |
      | truncated        | new        | failed   |
      | crossed_answer   | new        | failed   |
      | connect_failed   | new        | failed   |
      | upstream_busy    | new        | unjudged |
      | wrong_version    | new        | unjudged |
      | answer_too_large | new        | unjudged |

  Scenario: a naive version without retries never does better
    When frontend decisions are compared with the naive version
    Then frontend decisions delivered a response whenever the naive version did
    And frontend decisions said "not run" only of requests that did not run
    And frontend decisions never sent a non-idempotent request twice
