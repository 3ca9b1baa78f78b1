Feature: Decisions while calls of a worker may still take effect
  A worker stages one copy of a model. An order without a response may be
  accepted later, and then loads whatever is staged as the ordered version.

  Scenario Outline: an order for version 2 was <outcome>, then <event>: <step>
    Given an installer whose order for version 2 was <outcome>, then <event>
    When the installer selects the step for version 3 after 1 s
    Then the installer selects <step>

    Examples: The order may take effect, so the same one is given again
      | outcome    | event                              | step    |
      | unanswered | nothing                            | check 2 |
      | timed out  | nothing                            | check 2 |
      | unanswered | report of 3                        | check 2 |
      | unanswered | unanswered                         | check 2 |
      # A refusal may be due to the first order, which the report will show.
      | unanswered | refused                            | check 2 |
      | unanswered | refused after 9 s                  | check 2 |
      | unanswered | not sent                           | check 2 |
      # It was not received, so it does not show the worker's state.
      | unanswered | not sent after 11 s                | check 2 |
      | unanswered | unanswered after 5 s, refused after 11 s | check 2 |

    Examples: The order has taken effect, late, and what it loaded is read
      | outcome    | event                              | step     |
      | unanswered | report of 4                        | verify 2 |
      | unanswered | refused, report of 4               | verify 2 |
      | unanswered | in effect                          | verify 2 |
      | unanswered | version 2 is loaded                | verify 2 |
      # Pieces that were replaced since do not show what was loaded.
      | unanswered | repair, report of 4                | stage 3  |

    Examples: No order is open
      | outcome    | event                              | step    |
      | begun      | nothing                            | stage 3 |
      | in effect  | nothing                            | stage 3 |
      | refused    | nothing                            | stage 3 |
      | not sent   | nothing                            | stage 3 |
      | unanswered | begun                              | stage 3 |
      | unanswered | unanswered, begun                  | stage 3 |
      # A worker that refuses each repeat must not block newer versions.
      | unanswered | refused after 11 s                 | stage 3 |
      | unanswered | restart                            | stage 3 |

  Scenario: the host is suspended while an order for the version before is open
    # The order would be given again after a check that is too old.
    Given an installer whose order for version 2 was unanswered, then nothing
    When the installer's host was suspended after the check of version 2
    Then the staged pieces of version 2 are to be checked again

  Scenario Outline: a copy of piece <index> of version 2 is open, version <version> checked after <checked> s: <step> after <after> s
    # The copy may replace a piece between the check and the order.
    Given an installer whose copy of piece <index> of version 2 is open
    And version <version> is staged, and was checked after <checked> s
    When the installer selects the step for version 3 after <after> s
    Then the installer selects <step>

    Examples:
      | index | version | checked | after | step    |
      | 1     | 3       | 0.5     | 1     | wait 3  |
      | 1     | 3       | 9       | 9.9   | wait 3  |
      | 1     | 3       | 9       | 10.1  | check 3 |
      | 1     | 3       | 10.1    | 10.2  | start 3 |
      # The same bytes do no harm.
      | 1     | 2       | 0.5     | 1     | start 2 |

  Scenario: a copy that was sent to a worker before its restart
    Given an installer whose copy of piece 1 of version 2 is open
    And version 3 is staged, and was checked after 0.5 s
    When the worker restarts
    And the installer selects the step for version 3 after 1 s
    Then the installer selects start 3

  Scenario Outline: an agent that <follows> another one, with a worker that <state>: <step> after <after> s
    # It knows nothing of the calls of the one before.
    Given an installer that <follows> another agent, with a worker that <state>
    When the installer selects the step for version 3 after <after> s
    Then the installer selects <step>

    Examples:
      | follows        | state                              | after | step    |
      | may follow     | has begun orders                   | 1     | wait 3  |
      | may follow     | has begun orders                   | 10.1  | stage 3 |
      | may follow     | has begun no order                 | 1     | wait 3  |
      | may follow     | has nothing staged                 | 1     | wait 3  |
      # Recovery after a loss of all hosts must not wait.
      | may follow     | has begun no order, nothing staged | 1     | stage 3 |
      | may follow     | did not listen first               | 1     | stage 3 |
      # The clock was set back after the worker started.
      | may follow     | reports a start at a later time    | 1     | wait 3  |
      | does not follow | has begun orders                  | 1     | stage 3 |

  Scenario: an agent that follows another one finds its version staged
    Given an installer that may follow another agent, with a worker that has begun orders
    And version 3 is staged, and was checked after 0.5 s
    When the installer selects the step for version 3 after 1 s
    Then the installer selects start 3

  Scenario Outline: version <loaded> is loaded, <order> was ordered, <reported> is reported while <current> is installed
    # A late order of before may have loaded pieces of another version.
    Given an installer whose worker has <loaded> loaded and an order for <order>
    When the worker reports version <reported> while the agent installs <current>
    Then the installer reports version <version>, and verifies <verifies>

    Examples:
      | loaded | order | reported | current | version | verifies |
      | 1      | none  | 1        | 2       | 1       | none     |
      | 1      | 2     | 1        | 2       | 1       | none     |
      | 1      | 2     | 2        | 2       | 2       | none     |
      | 1      | none  | 2        | 2       | 0       | 2        |
      | 1      | none  | 2        | none    | 0       | none     |
      | 1      | none  | 2        | 3       | 0       | none     |
      | 1      | 3     | 2        | 3       | 0       | none     |

  Scenario Outline: the staged pieces of unexplained layers are <pieces>
    Given an installer whose worker has 1 loaded and an order for none
    When the worker reports version 2 while the agent installs 2
    And the pieces that the installer reads again are <pieces>
    And the worker <event> after that
    Then the installer reports version <version>, and verifies none

    Examples:
      | pieces  | event                       | version |
      | intact  | goes on                     | 2       |
      | corrupt | goes on                     | 0       |
      | corrupt | states that it is in effect | 0       |
      | corrupt | begins another order        | 2       |

  Scenario: other layers are reported while pieces are read
    # The pieces of version 2 do not show what version 3 was loaded from.
    Given an installer whose worker has 1 loaded and an order for none
    When the worker reports version 2 while the agent installs 2
    And the worker reports version 3 while the installer reads those of 2
    Then the installer reports version 0, and verifies 3

  Scenario: layers of two versions are not verified
    # Bad layers stay in use until those of the next version are loaded.
    Given an installer whose worker has 1 loaded and an order for none
    When the worker reports version 2 while the agent installs 2
    And the pieces that the installer reads again are corrupt
    And the worker begins version 3 while a copy of version 2 is open
    And the worker reports version 2 after 1 more orders
    Then the installer reports version 0, and verifies 3

  Scenario Outline: an order for the bad layers of version 2 is <reply>, then <event>: <step>
    # An order that begins no load must not be repeated for ever.
    Given an installer whose worker has 1 loaded and an order for none
    When the worker reports version 2 while the agent installs 2
    And the pieces that the installer reads again are corrupt
    And an order for these is <reply>, and the worker reports <event>
    And the installer selects the step for version <version>, checked just now
    Then the installer selects <step>

    Examples:
      | reply      | event     | version | step    |
      | in effect  | version 2 | 2       | wait 2  |
      | in effect  | version 2 | 3       | start 3 |
      | in effect  | version 1 | 2       | start 2 |
      | in effect  | version 0 | 2       | start 2 |
      | in effect  | a restart | 2       | start 2 |
      | refused    | version 2 | 2       | start 2 |
      # The outcome is unknown until the same order is answered.
      | unanswered | version 2 | 2       | start 2 |

  Scenario Outline: an agent that <follows> another one orders version 3, <after> s after its start, which is in effect
    # An order of the earlier agent may have loaded other pieces.
    Given an installer that <follows> another agent, with a worker that has begun orders
    When version 3 is ordered after <after> s, and is in effect
    Then the installer reports version <version>, and verifies <verifies>

    Examples:
      | follows         | after | version | verifies |
      | may follow      | 1     | 0       | 3        |
      | may follow      | 10.1  | 3       | none     |
      | does not follow | 1     | 3       | none     |

  Scenario: an order that was refused for long has loaded layers all the same
    # The order is settled, but it may have loaded other pieces since.
    Given an installer whose order for version 2 was unanswered, then refused after 11 s
    When the worker reports version 2 while the agent installs 3
    Then the installer reports version 0, and verifies none
