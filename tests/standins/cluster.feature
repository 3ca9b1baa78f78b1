Feature: Processes of a test cluster
  A process left behind holds its ports and breaks the next run, and a fault
  that was not really injected would make a test pass for nothing.

  Scenario Outline: a process is handled and ends with its group
    Given cluster process that serves a host list
    When cluster process is <handled>
    Then cluster process <answers> and none is left after <end>

    Examples:
      | handled   | answers         | end      |
      | killed    | has ended       | a return |
      | paused    | does not answer | a return |
      | resumed   | answers         | an error |
      | restarted | answers         | an error |

  Scenario Outline: every host of a plan can reach every other
    Given cluster plan of <plan>
    Then cluster plan has <entries> entry hosts, <replicas> replicas and <regions> regions
    And cluster plan has valid settings and no address twice

    Examples:
      | plan    | entries | replicas | regions |
      | karatsu | 7       | 6        | 3       |
      | qalem   | 7       | 6        | 3       |
      | 81 in 5 | 5       | 81       | 5       |
      | 9 in 1  | 1       | 9        | 1       |
