Feature: Routes and keys of the desired state
  A request must reach the service of the longest prefix only, and one without
  a known key must run nowhere.

  Scenario Outline: a request to <host><target> with key <key> is <outcome>
    When routes resolve <host><target> with key <key>
    Then routes answer <outcome>

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

  Scenario Outline: at the point <point> a split of 90 to 10 sends to <service>
    When routes choose at the point <point> of a split of 90 to 10
    Then routes chose <service>

    Examples:
      | point | service |
      | 0.0   | big     |
      | 0.89  | big     |
      | 0.9   | small   |
      | 0.999 | small   |

  Scenario Outline: the priority of a workspace with <own> on a route with <route> is <priority>
    When routes resolve for a workspace of priority <own> on a route of priority <route>
    Then routes gave the priority <priority>

    Examples:
      | own  | route | priority |
      | none | 3     | 3        |
      | 1    | 3     | 1        |
      | 0    | 3     | 0        |
