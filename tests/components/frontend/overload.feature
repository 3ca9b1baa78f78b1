Feature: Overload
  The lowest priority is refused first, at once and before anything was sent.

  Scenario Outline: with <held> of 20 requests in flight priority <priority> is <kind>
    Given frontend with upstreams "near" of "fees"
    And frontend holds <held> requests in flight
    When frontend receives a request of workspace <workspace> and priority <priority>
    Then frontend answers <kind>, executed <executed>, repeat <repeat>

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

  Scenario: a keyed request that is refused says nothing of other attempts
    Given frontend with upstreams "near" of "fees"
    And frontend holds 20 requests in flight
    When frontend receives POST /services/fees/fees/1 with a key
    Then frontend answers overloaded, executed unknown, repeat same_key
    And frontend asked for 0 claims

  Scenario: requests that end make room
    Given frontend with upstreams "near" of "fees"
    And frontend holds 20 requests in flight
    When frontend's held requests end
    And frontend has no request in flight
    And frontend receives a request of workspace any and priority 9
    Then frontend answers ok, executed -, repeat -
    And frontend answered all held requests
