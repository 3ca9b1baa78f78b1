Feature: Resolution of a request to a route, service and workspace
  If a shorter prefix won, a request would reach the wrong service. If a
  request without a known API key were resolved, it would run at an upstream.

  Scenario Outline: a request to <host><target> with API key <key> resolves to <outcome>
    When routes resolve <host><target> with API key <key>
    Then routes return the outcome <outcome>

    Examples:
      | host     | target      | key   | outcome         |
      | a.test   | /x/1        | k1    | service plain   |
      | A.TEST   | /x/1        | k1    | service plain   |
      | a.test:80 | /x/1       | k1    | service plain   |
      | a.test   | /x/y/1      | k1    | service deep    |
      | a.test   | /x/y/1?z=/q | k1    | service deep    |
      | a.test   | /x          | k1    | unknown_route   |
      | a.test   | /z/1?p=/x/  | k1    | unknown_route   |
      | b.test   | /x/1        | k1    | unknown_route   |
      | a.test   | /x/1        | none  | api_key_unknown |
      | a.test   | /x/1        | k9    | api_key_unknown |
      | a.test   | /open/1     | none  | service plain   |

  Scenario Outline: split point <point> of weights 90 and 10 selects service <service>
    When routes select a service at split point <point> of weights 90 and 10
    Then routes select service <service>

    Examples:
      | point | service |
      | 0.0   | big     |
      | 0.89  | big     |
      | 0.9   | small   |
      | 0.999 | small   |

  Scenario Outline: workspace priority <workspace> on a route with priority <route> gives <priority>
    When routes resolve for a workspace of priority <workspace> on a route of priority <route>
    Then routes return the priority <priority>

    Examples:
      | workspace | route | priority |
      | none      | 3     | 3        |
      | 1         | 3     | 1        |
      | 0         | 3     | 0        |
