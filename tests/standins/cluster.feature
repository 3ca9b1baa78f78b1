Feature: Processes of a test cluster
  A process that outlives its group keeps its ports and breaks the next run. A
  fault that was not injected would let a test of this fault pass.

  Scenario Outline: a process that is <action> ends with its group
    Given cluster process that serves a host list
    When cluster process is <action>
    Then cluster process <state> and none is left after <end>

    Examples:
      | action    | state            | end      |
      | killed    | has ended        | a return |
      | paused    | does not respond | a return |
      | resumed   | responds         | an error |
      | restarted | responds         | an error |

  Scenario Outline: a plan has all hosts, valid settings and unique addresses
    Given cluster plan of <plan>
    Then cluster plan has <entries> entry hosts, <replicas> replicas and <regions> regions
    And cluster plan has valid settings and no address twice

    Examples:
      | plan    | entries | replicas | regions |
      | karatsu | 7       | 6        | 3       |
      | qalem   | 7       | 6        | 3       |
      | 81 in 5 | 5       | 81       | 5       |
      | 9 in 1  | 1       | 9        | 1       |
