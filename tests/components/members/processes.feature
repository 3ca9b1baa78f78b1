Feature: Members in running processes
  Real processes against the log and host list stand-ins.

  Scenario Outline: members of all processes follow an agent
    # Guards against an agent that stops or dies and still receives work.
    Given configuration world with a log that keeps records for 60 s
    And configuration world with entry host "entry-1" and agent "agent-1"
    And configuration world starts entry host "entry-2"
    And members of "entry-1,entry-2" take "live" for 3 hosts
    And members of "entry-1,entry-2" have heard of 3 hosts
    When members agent "agent-1" is ended by <signal>
    Then members of "entry-1,entry-2" take "<state>" for 1 hosts

    Examples:
      | signal | state     |
      | stop   | leaving   |
      | kill   | suspected |
      | pause  | suspected |

  Scenario: members find each other by seed peers without a host list
    # Guards against a start during an outage of the host list.
    Given configuration world with a log that keeps records for 60 s
    And configuration world with entry host "entry-1" and agent "agent-1"
    When members host list has an outage
    And members start agent "agent-2" with the seed peer "entry-1"
    Then members of "entry-1,agent-2" take "live" for 3 hosts
