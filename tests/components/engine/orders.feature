Feature: Orders to the engine
  The pure decisions run against a model of an engine. Guards against a version
  that is confirmed without the engine serving it, an order that an older
  configuration gives late, a lost or ignored order that nobody repeats, and a
  switch that interrupts requests or takes too many hosts out of service.

  Scenario Outline: engine orders follow what the engine reports
    Given engine model serves "<serves>" under number <number> and <behaviour>
    When engine decisions order v2 under number 7
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
      | v1       | 3      | loses one answer           | load activate                   | confirmed     |
      | v1       | 3      | answers reads late         | load activate                   | confirmed     |
      | v1       | 3      | refuses one load           | load load activate              | confirmed     |
      | v1       | 3      | obeys a late order of v1   | load activate activate          | confirmed     |
      | v1       | 3      | restarts after its switch  | load activate activate load activate | confirmed |
      | v1       | 3      | is closed by the gate      | load                            | not confirmed |
      | v1       | 3      | keeps one request for 2 s  | load activate                   | confirmed     |
      | v1       | 3      | keeps one request for ever | load activate                   | confirmed     |

  Scenario Outline: engine reports switching before it activates
    Given engine model serves "v1" under number 3 and <behaviour>
    When engine decisions order v2 under number 7
    Then engine activation came <after_s> s or more after switching was reported

    Examples:
      | behaviour                  | after_s |
      | keeps one request for 2 s  | 2       |
      | keeps one request for ever | 5       |

  Scenario Outline: engine gate lets a share of the hosts switch at a time
    Given engine gate of <hosts> hosts with fraction <fraction>
    When engine hosts ranked first have confirmed <confirmed>
    Then engine gate is open for <open> of the others

    Examples:
      | hosts | fraction | confirmed | open |
      | 1     | 0.34     | 0         | 1    |
      | 2     | 0.34     | 0         | 1    |
      | 6     | 0.34     | 0         | 2    |
      | 6     | 0.34     | 2         | 2    |
      | 6     | 0.34     | 5         | 1    |
      | 9     | 1        | 0         | 9    |
      | 100   | 0.05     | 40        | 5    |
