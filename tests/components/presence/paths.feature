Feature: How long the paths between data centres take
  Requests that wait in a full link reach their worker after their callers have
  left. No host can tell that from its own connections before it has sent some.

  Scenario Outline: clocks <apart> s apart and a path that takes <before> s, then <after> s: <delay> s more
    # The hosts' clocks need not agree.
    Given presence greets from 3 hosts whose clocks are <apart> s apart
    When presence's greetings take <before> s for 10 s and then <after> s for 2 s
    Then presence measures a delay of <delay> s from there

    Examples:
      | apart  | before | after | delay |
      | 0      | 0.001  | 0.001 | 0     |
      | 0      | 0.001  | 0.8   | 0.8   |
      | 5000   | 0.001  | 0.8   | 0.8   |
      | -5000  | 0.001  | 0.8   | 0.8   |
      | 0      | 0.8    | 0.001 | 0     |

  Scenario Outline: of 3 hosts <late> are late by themselves: <delay> s
    # A host without processor time is no full link.
    Given presence greets from 3 hosts whose clocks are 0 s apart
    When presence's greetings of <late> hosts take 0.8 s after 10 s
    Then presence measures a delay of <delay> s from there

    Examples:
      | late | delay |
      | 0    | 0     |
      | 1    | 0     |
      | 2    | 0.8   |

  Scenario Outline: hosts that measured <there> s of this data centre and greet <back> s late: <delay> s
    Given presence greets from 3 hosts whose clocks are 0 s apart
    And presence's hosts there measured <there> s of what came from here
    When presence's greetings take 0.001 s for 10 s and then <back> s for 2 s
    Then presence measures a delay of <delay> s there and back

    Examples:
      | there | back  | delay |
      | 0     | 0.001 | 0     |
      | 0.7   | 0.001 | 0.7   |
      | 0     | 0.701 | 0.7   |
      | 0.2   | 0.201 | 0.4   |

  Scenario: nothing is said of a data centre that is not heard of any more
    Given presence greets from 3 hosts whose clocks are 0 s apart
    When presence's greetings take 0.8 s for 10 s and then nothing comes for 3 s
    Then presence measures no delay from there
