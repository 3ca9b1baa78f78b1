Feature: Requests at the router
  The router's own counts decide, so nothing may stay counted that has ended.

  Scenario Outline: after an attempt that <health> the upstream is <state>
    Given router with one upstream
    When router admits a request and its attempt <health>
    And router is asked for an upstream again
    Then router answers <state>

    Examples:
      | health   | state     |
      | works    | selected  |
      | unjudged | selected  |
      | failed   | suspected |

  Scenario: a host that works after a failure is trusted at once
    Given router with one upstream
    When router admits a request and its attempt failed
    And router waits until it has rested
    And router admits a request and its attempt works
    Then router suspects nothing

  Scenario: after its rest a host is probed by one request at a time
    Given router with one upstream
    When router admits a request and its attempt failed
    And router waits until it has rested
    And router is asked for an upstream by 3 requests at once
    Then router chose an upstream for 1 of them

  Scenario: a host that leaves receives nothing more
    Given router with one upstream
    When router learns that the upstream is leaving
    And router is asked for an upstream again
    Then router answers no_upstream

  Scenario Outline: <requests> requests allow <retries> retries
    Given router with one upstream
    When router admits <requests> requests that are all retried 3 times
    Then router allowed <retries> retries

    Examples:
      | requests | retries |
      | 1        | 3       |
      | 10       | 11      |
      | 100      | 29      |

  Scenario: a quiet time does not save up retries for a storm
    Given router with one upstream
    When router admits 100 requests that are not retried
    And router admits 10 requests that are all retried 3 times
    Then router allowed 11 retries

  Scenario: a request whose attempt has ended is given back once
    Given router with one upstream
    When router is asked for an upstream by 3 requests at once
    And router is told that an attempt ended, and then its request
    Then router counts 2 requests in flight on the upstream

  Scenario: what a request held is given back when it ends in any way
    Given router with one upstream
    When router is asked for an upstream by 3 requests at once
    And router is told that they ended, twice
    Then router counts nothing in flight
