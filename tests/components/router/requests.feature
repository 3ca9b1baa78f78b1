Feature: Requests at the router
  Admission and selection rest on the router's own counts. A request that stays
  counted after its end would make hosts look busy and use up the limit.

  Scenario Outline: after an attempt that <health> the upstream is <state>
    Given router with one upstream
    When router admits a request and its attempt <health>
    And router is asked for an upstream again
    Then router replies <state>

    Examples:
      | health   | state     |
      | works    | selected  |
      | unjudged | selected  |
      | failed   | inbackoff |

  Scenario: a success ends the back-off of a host at once
    Given router with one upstream
    When router admits a request and its attempt failed
    And router waits until the back-off has ended
    And router admits a request and its attempt works
    Then router has no host in back-off

  Scenario: after its back-off a host is probed by one request at a time
    Given router with one upstream
    When router admits a request and its attempt failed
    And router waits until the back-off has ended
    And router is asked for an upstream by 3 requests at once
    Then router selected an upstream for 1 of them

  Scenario: a host that is leaving receives no more requests
    Given router with one upstream
    When router receives the state leaving of the upstream
    And router is asked for an upstream again
    Then router replies no_upstream

  Scenario Outline: <requests> requests allow <retries> retries
    Given router with one upstream
    When router admits <requests> requests that are all retried 3 times
    Then router allowed <retries> retries

    Examples:
      | requests | retries |
      | 1        | 3       |
      | 10       | 11      |
      | 100      | 29      |

  Scenario: the retry budget does not grow beyond its limit without retries
    Given router with one upstream
    When router admits 100 requests that are not retried
    And router admits 10 requests that are all retried 3 times
    Then router allowed 11 retries

  Scenario: a request is released once when its attempt and then itself ends
    Given router with one upstream
    When router is asked for an upstream by 3 requests at once
    And router receives the end of an attempt and then of its request
    Then router counts 2 requests in flight on the upstream

  Scenario: a second end of a request changes no count
    Given router with one upstream
    When router is asked for an upstream by 3 requests at once
    And router receives the end of each of them twice
    Then router counts no request in flight
