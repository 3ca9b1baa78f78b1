Feature: Answers under faults of upstreams
  A caller receives the whole answer to its own request or a clear error. A
  request that may run only once is sent once, whatever happens to it.

  Scenario Outline: an idempotent request is answered in spite of <fault>
    Given frontend with upstreams "near, far" of "fees"
    And frontend upstream "near" has the fault "<fault>"
    When frontend receives POST /services/fees/letters/1
    Then frontend answers ok, executed -, repeat -
    And frontend passed on the right answer
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

  Scenario Outline: a request that runs once ends as <kind> after <fault>
    Given frontend with upstreams "near, far" of "fees"
    And frontend upstream "near" has the fault "<fault>"
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend answers <kind>, executed <executed>, repeat <repeat>
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
    Then frontend answers <kind>, executed <executed>, repeat <repeat>
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

  Scenario Outline: an answer of an upstream is passed on with its status <status>
    Given frontend with upstreams "near" of "fees"
    And frontend upstream "near" always has the fault "status_<status>"
    When frontend receives POST /services/fees/letters/1
    Then frontend answers with status <status> from the upstream

    Examples:
      | status |
      | 503    |
      | 500    |
      | 404    |

  Scenario Outline: an answer that was <fault> is not taken for the next request's
    Given frontend with upstreams "near" of "fees"
    And frontend upstream "near" has the fault "<fault>"
    When frontend receives POST /services/fees/letters/first
    And frontend waits 0.1 s
    And frontend receives POST /services/fees/letters/second
    Then frontend passed on the right answer
    And frontend counted 0 retries for crossed_answer
    And frontend counted 0 retries for reset_before_answer

    Examples:
      | fault          |
      | repeated       |
      | repeated_later |
      | repeated_half  |

  Scenario: without an echoed identity no connection carries two requests
    Given frontend with upstreams "near" of "mute"
    When frontend receives GET /services/mute/a
    And frontend receives GET /services/mute/b
    Then frontend passed on the right answer
    And frontend opened 2 connections to "near"

  Scenario: an idle connection is used again, but not for a request that runs once
    Given frontend with upstreams "near" of "fees"
    When frontend receives GET /services/fees/a
    And frontend receives GET /services/fees/b
    Then frontend opened 1 connections to "near"
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend opened 2 connections to "near"
