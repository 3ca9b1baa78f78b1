Feature: Orders to the engine
  The decisions run without sockets against a simulated engine. Guards against
  - a version that is reported as confirmed although the engine does not serve
    it, after a status read that began before the order,
  - an order of an older configuration that is carried out late,
  - an order that is lost or ignored and not repeated,
  - a switch that interrupts requests or takes too many hosts of a service out
    of service at the same time.

  Scenario Outline: the agent gives orders until the engine reports the target version
    Given simulated engine serves "<serves>" with fencing number <number> and <behaviour>
    When engine decisions receive target v2 with fencing number 7
    Then engine received the orders "<orders>"
    And engine is <state> in the end

    Examples:
      | serves   | number | behaviour                  | orders                          | state         |
      | nothing  | -1     | obeys                      | load activate                   | confirmed     |
      | v1       | 3      | obeys                      | load activate                   | confirmed     |
      | v2       | 3      | obeys                      |                                 | confirmed     |
      | v2 wrong | 3      | obeys                      | load activate                   | confirmed     |
      | v1       | 9      | checks numbers             |                                 | not confirmed |
      | v1       | 9      | obeys                      |                                 | not confirmed |
      | v1       | 3      | checks numbers             | load activate                   | confirmed     |
      | v1       | 3      | ignores one activation     | load activate load activate     | confirmed     |
      | v1       | 3      | loses one response         | load activate                   | confirmed     |
      | v1       | 3      | responds to reads late     | load activate                   | confirmed     |
      | v1       | 3      | refuses one load           | load load activate              | confirmed     |
      | v1       | 3      | obeys a late order of v1   | load activate activate          | confirmed     |
      | v1       | 3      | restarts after its switch  | load activate activate load activate | confirmed |
      | v1       | 3      | is closed by the gate      | load                            | not confirmed |
      | v1       | 3      | keeps one request for 2 s  | load activate                   | confirmed     |
      | v1       | 3      | keeps one request for ever | load activate                   | confirmed     |

  Scenario Outline: the agent reports switching, then lets requests end before it activates
    Given simulated engine serves "v1" with fencing number 3 and <behaviour>
    When engine decisions receive target v2 with fencing number 7
    Then engine activation happened <after_s> s or more after switching was reported

    Examples:
      | behaviour                  | after_s |
      | keeps one request for 2 s  | 2       |
      | keeps one request for ever | 5       |

  Scenario Outline: the switch gate limits how many hosts switch at the same time
    Given engine switch gate of <hosts> hosts with fraction <fraction>
    When engine hosts ranked first have confirmed <confirmed>
    Then engine switch gate is open for <open> of the others

    Examples:
      | hosts | fraction | confirmed | open |
      | 1     | 0.34     | 0         | 1    |
      | 2     | 0.34     | 0         | 1    |
      | 6     | 0.34     | 0         | 2    |
      | 6     | 0.34     | 2         | 2    |
      | 6     | 0.34     | 5         | 1    |
      | 9     | 1        | 0         | 9    |
      | 100   | 0.05     | 40        | 5    |
