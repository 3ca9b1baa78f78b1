Feature: Requests that run at most once
  A non-idempotent request may only run if the claim on its key is granted. A
  caller that is told "not run" sends the request again, so this is said only if
  the key is closed: another entry host may have a request with the same key.

  Scenario Outline: a claim that is <verdict> ends the request as <kind>
    Given frontend with upstreams "near" of "fees"
    And frontend is configured with claims claim_timeout_s 0.3
    And frontend's claims service replies <verdict>
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend responds <kind>, executed <executed>, repeat <repeat>
    And frontend upstreams ran it 0 times
    And frontend reported nothing to claims
    And frontend holds nothing of the request

    Examples:
      | verdict     | kind               | executed | repeat   |
      | running     | outcome_unknown    | unknown  | same_key |
      | unknown     | outcome_unknown    | unknown  | same_key |
      | not_run     | not_run            | no       | new_key  |
      | reused      | key_reused         | unknown  | new_key  |
      | unavailable | claims_unavailable | unknown  | same_key |
      | not_owner   | claims_unavailable | unknown  | same_key |
      | unheard_of  | claims_unavailable | unknown  | same_key |
      | no_answer   | claims_unavailable | unknown  | same_key |
      | internal    | claims_unavailable | unknown  | same_key |
      | key_invalid | key_invalid        | no       | new_key  |
      | key_expired | key_expired        | unknown  | no       |

  Scenario Outline: a request with the key of an earlier one receives its outcome
    Given frontend with upstreams "near" of "fees"
    And frontend's claims service has the outcome "<body>" <detail>
    When frontend receives <method> <target> with a key
    Then frontend responds <kind>, executed <executed>, repeat <repeat>
    And frontend passed on status <status>
    And frontend upstreams ran it 0 times

    Examples:
      | method | target                | body | detail       | kind               | executed | repeat | status |
      | POST   | /services/fees/fees/1 | paid | complete     | ok                 | -        | -      | 201    |
      | POST   | /services/fees/fees/1 |      | body_omitted | outcome_not_stored | yes      | no     | 410    |
      | GET    | /outcomes/fees/a-key  | paid | complete     | ok                 | -        | -      | 201    |
      | GET    | /outcomes/fees/a-key  |      | body_omitted | outcome_not_stored | yes      | no     | 410    |

  Scenario Outline: a lookup of an outcome that is <verdict> ends as <kind>
    Given frontend with upstreams "near" of "fees"
    And frontend's claims service replies <verdict>
    When frontend receives GET /outcomes/fees/a-key
    Then frontend responds <kind>, executed <executed>, repeat <repeat>

    Examples:
      | verdict           | kind               | executed | repeat   |
      | running           | outcome_unknown    | unknown  | same_key |
      | not_run           | not_run            | no       | new_key  |
      | outcome_not_found | outcome_not_found  | unknown  | same_key |
      | key_expired       | key_expired        | unknown  | no       |
      | unavailable       | claims_unavailable | unknown  | same_key |

  Scenario: a non-idempotent request without a key is refused
    Given frontend with upstreams "near" of "fees"
    When frontend receives POST /services/fees/fees/1
    Then frontend responds key_required, executed no, repeat new_key
    And frontend upstreams ran it 0 times
    And frontend requested 0 claims

  Scenario: a caller is not told "not run" if closing its key is not confirmed
    Given frontend with upstreams "near" of "fees"
    And frontend upstream "near" has the fault "refused"
    And frontend's claims service stores nothing
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend responds claims_unavailable, executed unknown, repeat same_key

  Scenario Outline: without a usable upstream a request is refused before its claim
    Given frontend with upstreams "near" of "fees"
    And frontend upstream "near" is <state>
    When frontend receives POST <target> with a key
    Then frontend responds no_upstream, executed <executed>, repeat <repeat>
    And frontend requested 0 claims
    And frontend upstreams ran it 0 times

    Examples:
      | state     | target                   | executed | repeat   |
      | leaving   | /services/fees/fees/1    | unknown  | same_key |
      | switching | /services/fees/fees/1    | unknown  | same_key |
      | leaving   | /services/fees/letters/1 | no       | yes      |

  Scenario Outline: after a pause of <pause_s> s the upstream is selected again
    Given frontend with upstreams "near, far" of "fees"
    And frontend is configured with claims claim_timeout_s 9
    And frontend's process pauses for <pause_s> s in a claim, and "near" is leaving
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend responds <kind>, executed <executed>, repeat <repeat>
    And frontend upstream "near" received nothing
    And frontend upstreams ran it <runs> times
    And frontend reported <report> to claims

    Examples:
      | pause_s | kind    | executed | repeat  | runs | report  |
      | 1.2     | ok      | -        | -       | 1    | outcome |
      | 2.2     | not_run | no       | new_key | 0    | not_run |
