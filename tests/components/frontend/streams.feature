Feature: Streams
  A worker may fail in the middle of a stream. The caller's stream must then
  continue without gaps, with tokens of the same version, or end with an error
  that it can't mistake for the regular end.

  Scenario Outline: a stream cut by <fault> resumes on a worker with its version
    Given frontend with upstreams "near, far" of "drafting"
    And frontend upstream "near" has the fault "<fault>"
    When frontend streams 6 tokens
    Then frontend passed on tokens 0 to 5 of version v1 and the end
    And frontend upstream "far" was asked to resume from <resume>
    And frontend counted 1 retries for <reason>
    And frontend holds nothing of the request

    Examples:
      | fault         | resume | reason              |
      | reset         | 2      | truncated           |
      | cut           | 2      | truncated           |
      | killed        | 2      | truncated           |
      | ended         | 2      | truncated           |
      | errs          | 2      | truncated           |
      | half_event    | 2      | truncated           |
      | silent        | 2      | silent              |
      | skips         | 2      | crossed_answer      |
      | repeats       | 2      | crossed_answer      |
      | no_end        | 6      | truncated           |
      | reset_at_once | 0      | truncated           |
      | no_version    | 0      | wrong_version       |
      | status_503    | 0      | upstream_busy       |

  Scenario: a stream resumes on a suspected worker when there is no other
    # A suspected host missed heartbeats; the worker beside it may be healthy.
    Given frontend with upstreams "near" of "drafting"
    And frontend has a far upstream of "drafting" with state suspected
    And frontend upstream "near" has the fault "killed"
    When frontend streams 6 tokens
    Then frontend passed on tokens 0 to 5 of version v1 and the end
    And frontend upstream "far" was asked to resume from 2
    And frontend holds nothing of the request

  Scenario Outline: a stream that can't resume ends with an error event
    Given frontend with upstreams "near" of "drafting"
    And frontend has a far upstream of "drafting" with <other>
    And frontend upstream "near" has the fault "<fault>"
    When frontend streams 6 tokens
    Then frontend ended the stream after token 1 with <kind> and no final chunk
    And frontend upstream "far" received nothing
    And frontend holds nothing of the request

    Examples:
      | fault  | other          | kind            |
      | killed | version v2     | upstream_failed |
      | killed | state leaving  | upstream_failed |
      | killed | state switching | upstream_failed |

  Scenario Outline: a stream that goes on with a <fault> of another worker ends with an error event
    # The response is no stream, so it can't be the rest of one.
    Given frontend with upstreams "near, far" of "drafting"
    And frontend upstream "near" has the fault "killed"
    And frontend upstream "far" has the fault "<fault>"
    When frontend streams 6 tokens
    Then frontend ended the stream after token 1 with upstream_failed and no final chunk
    And frontend holds nothing of the request

    Examples:
      | fault      |
      | status_404 |
      | status_400 |
      | status_409 |

  Scenario Outline: a stream whose worker pauses is whole if another worker <other>
    # A silence is a reason to look for another worker. The one at work was given
    # up before another had accepted the request, and the stream was broken off
    # although its worker went on.
    Given frontend with upstreams "near" of "drafting"
    And frontend has a far upstream of "drafting" with <far>
    And frontend upstream "near" has the fault "pauses"
    And frontend upstream "far" always has the fault "<fault>"
    When frontend streams 6 tokens
    Then frontend passed on tokens 0 to 5 of version v1 and the end
    And frontend holds nothing of the request

    Examples:
      | other                 | far        | fault         |
      | continues it          | state live | none          |
      | has another version   | version v2 | none          |
      | is full               | state live | status_503    |
      | resets it             | state live | reset_at_once |
      | names another version | state live | wrong_version |

  Scenario: a stream whose worker stays silent ends when no other continues it
    Given frontend with upstreams "near, far" of "drafting"
    And frontend upstream "near" has the fault "silent"
    And frontend upstream "far" always has the fault "status_503"
    When frontend streams 6 tokens
    Then frontend ended the stream after token 1 with timeout and no final chunk
    And frontend holds nothing of the request

  Scenario: a stream that fails repeatedly ends after a limited number of attempts
    Given frontend with upstreams "near, far" of "drafting"
    And frontend upstream "near" always has the fault "reset"
    And frontend upstream "far" always has the fault "reset"
    When frontend streams 30 tokens
    Then frontend ended the stream with upstream_failed and no final chunk
    And frontend upstreams ran it 4 times

  Scenario Outline: a request for version <version> gets this version or a refusal
    Given frontend with upstreams "near" of "drafting"
    And frontend has a far upstream of "drafting" with version v2
    When frontend streams 4 tokens of version <version>
    Then frontend responded <response> with version <named>

    Examples:
      | version | response    | named |
      | v1      | ok          | v1    |
      | v2      | ok          | v2    |
      | v3      | no_upstream | -     |

  Scenario: a response with another version than the selected one is not used
    Given frontend with upstreams "near, far" of "drafting"
    And frontend upstream "near" has the fault "wrong_version"
    When frontend streams 6 tokens of version v1
    Then frontend passed on tokens 0 to 5 of version v1 and the end
    And frontend counted 1 retries for wrong_version

  Scenario: a stream never continues with tokens of another version
    Given frontend with upstreams "near, far, farther" of "drafting"
    And frontend upstream "near" has the fault "reset"
    And frontend upstream "far-1" always has the fault "wrong_version"
    And frontend upstream "farther" always has the fault "wrong_version"
    When frontend streams 30 tokens
    Then frontend ended the stream after token 1 with upstream_failed and no final chunk
    And frontend counted at least 2 retries for wrong_version

  Scenario: a response of an engine that is no stream names its version
    Given frontend with upstreams "near" of "drafting"
    When frontend asks for 4 tokens at once
    Then frontend responded ok with version v1

  Scenario: a caller that disconnects during a stream cancels the upstream's request
    Given frontend with upstreams "near" of "drafting"
    When frontend's caller disconnects after the first of 400 tokens
    Then frontend upstream "near" was disconnected before token 100
    And frontend holds nothing of the request

  Scenario: a caller that stops reading does not hold up other callers
    Given frontend with upstreams "near" of "drafting"
    When frontend's caller stops reading a stream of 100000 tokens
    And frontend streams 6 tokens
    Then frontend passed on tokens 0 to 5 of version v1 and the end
