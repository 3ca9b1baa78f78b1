Feature: Responses under faults of upstreams
  Resets, truncated or crossed responses and silence must not reach callers as
  responses. A caller receives the complete response to its own request or an
  error, and a non-idempotent request is sent at most once.

  Scenario Outline: an idempotent request gets a response in spite of <fault>
    Given frontend with upstreams "near, far" of "fees"
    And frontend upstream "near" has the fault "<fault>"
    When frontend receives POST /services/fees/letters/1
    Then frontend responds ok, executed -, repeat -
    And frontend passed on the correct response
    And frontend upstreams ran it <runs> times
    And frontend counted <retries> retries for <reason>
    And frontend holds nothing of the request

    Examples:
      | fault          | runs | retries | reason              |
      | none           | 1    | 0       | silent              |
      | refused        | 1    | 1       | connect_failed      |
      | reset_before   | 2    | 1       | reset_before_answer |
      | garbage        | 2    | 1       | reset_before_answer |
      | reset_mid      | 2    | 1       | truncated           |
      | truncated      | 2    | 1       | truncated           |
      | unframed       | 2    | 1       | truncated           |
      | chunk_missing  | 2    | 1       | truncated           |
      | silent         | 2    | 1       | silent              |
      | silent_mid     | 2    | 1       | silent              |
      | late           | 2    | 1       | silent              |
      | crossed        | 2    | 1       | crossed_answer      |
      | unnamed        | 2    | 1       | crossed_answer      |
      | repeated       | 1    | 0       | crossed_answer      |
      | repeated_later | 1    | 0       | crossed_answer      |
      | status_503     | 1    | 1       | upstream_busy       |
      | status_429     | 1    | 1       | upstream_busy       |
      | status_409     | 1    | 1       | upstream_busy       |

  Scenario Outline: a non-idempotent request ends as <kind> after <fault>
    Given frontend with upstreams "near, far" of "fees"
    And frontend upstream "near" has the fault "<fault>"
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend responds <kind>, executed <executed>, repeat <repeat>
    And frontend upstreams ran it <runs> times
    And frontend sent it at most once
    And frontend reported <report> to claims
    And frontend holds nothing of the request

    Examples:
      | fault         | kind             | executed | repeat   | runs | report  |
      | none          | ok               | -        | -        | 1    | outcome |
      | refused       | not_run          | no       | new_key  | 0    | not_run |
      | status_409    | not_run          | no       | new_key  | 0    | not_run |
      | status_503    | ok               | -        | -        | 0    | outcome |
      | reset_before  | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | garbage       | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | reset_mid     | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | truncated     | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | unframed      | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | chunk_missing | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | silent        | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | late          | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | crossed       | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | unnamed       | outcome_unknown  | unknown  | same_key | 1    | nothing |
      | repeated      | ok               | -        | -        | 1    | outcome |
      | too_large     | answer_too_large | yes      | no       | 1    | outcome |

  Scenario Outline: an idempotent request without a second upstream ends as <kind>
    Given frontend with upstreams "near" of "fees"
    And frontend upstream "near" always has the fault "<fault>"
    When frontend receives POST /services/fees/letters/1
    Then frontend responds <kind>, executed <executed>, repeat <repeat>
    And frontend holds nothing of the request

    Examples:
      | fault        | kind             | executed | repeat |
      | refused      | no_upstream      | no       | yes    |
      | status_409   | not_run          | no       | yes    |
      | reset_before | upstream_failed  | unknown  | yes    |
      | truncated    | upstream_failed  | unknown  | yes    |
      | crossed      | upstream_failed  | unknown  | yes    |
      | silent       | timeout          | unknown  | yes    |
      | too_large    | answer_too_large | yes      | no     |

  Scenario Outline: a response of an upstream is passed on with its status <status>
    Given frontend with upstreams "near" of "fees"
    And frontend upstream "near" always has the fault "status_<status>"
    When frontend receives POST /services/fees/letters/1
    Then frontend responds with status <status> from the upstream

    Examples:
      | status |
      | 503    |
      | 500    |
      | 404    |

  Scenario Outline: a response that was <fault> is not used for the next request
    Given frontend with upstreams "near" of "fees"
    And frontend upstream "near" has the fault "<fault>"
    When frontend receives POST /services/fees/letters/first
    And frontend waits 0.1 s
    And frontend receives POST /services/fees/letters/second
    Then frontend passed on the correct response
    And frontend counted 0 retries for crossed_answer
    And frontend counted 0 retries for reset_before_answer

    Examples:
      | fault          |
      | repeated       |
      | repeated_later |
      | repeated_half  |

  Scenario: without an echoed request id no connection carries two requests
    Given frontend with upstreams "near" of "mute"
    When frontend receives GET /services/mute/a
    And frontend receives GET /services/mute/b
    Then frontend passed on the correct response
    And frontend opened 2 connections to "near"

  Scenario: an idle connection is reused, but not for a non-idempotent request
    Given frontend with upstreams "near" of "fees"
    When frontend receives GET /services/fees/a
    And frontend receives GET /services/fees/b
    Then frontend opened 1 connections to "near"
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend opened 2 connections to "near"
