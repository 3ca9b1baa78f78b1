Feature: Overload
  Under overload, requests of the lowest priority are refused first. They are
  refused at once, before anything is sent to an upstream.

  Scenario Outline: with <held> of 20 requests in flight priority <priority> is <kind>
    Given frontend with upstreams "near" of "fees"
    And frontend has <held> requests in flight
    When frontend receives a request of workspace <workspace> and priority <priority>
    Then frontend responds <kind>, executed <executed>, repeat <repeat>

    Examples:
      | held | workspace | priority | kind       | executed | repeat |
      | 10   | any       | 9        | ok         | -        | -      |
      | 11   | any       | 9        | overloaded | no       | yes    |
      | 14   | any       | 5        | ok         | -        | -      |
      | 15   | any       | 5        | overloaded | no       | yes    |
      | 14   | any       | -        | ok         | -        | -      |
      | 15   | any       | -        | overloaded | no       | yes    |
      | 19   | any       | 0        | ok         | -        | -      |
      | 20   | any       | 0        | overloaded | no       | yes    |
      | 18   | large     | -        | ok         | -        | -      |
      | 19   | large     | -        | overloaded | no       | yes    |
      | 11   | small     | -        | overloaded | no       | yes    |
      | 11   | small     | 0        | ok         | -        | -      |

  Scenario: the refusal of a request with a key leaves open whether it ran
    Given frontend with upstreams "near" of "fees"
    And frontend has 20 requests in flight
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend responds overloaded, executed unknown, repeat same_key
    And frontend requested 0 claims

  Scenario: new requests are admitted after others have ended
    Given frontend with upstreams "near" of "fees"
    And frontend has 20 requests in flight
    When frontend's held requests end
    And frontend has no request in flight
    And frontend receives a request of workspace any and priority 9
    Then frontend responds ok, executed -, repeat -
    And frontend responded to all held requests
