Feature: Members in running processes
  Real processes with stand-ins of the log and the host list.

  Scenario Outline: members of all processes follow an agent
    # Guards against requests to an agent that has stopped or failed.
    Given control plane with a log that retains records for 60 s
    And control plane with entry host "entry-1" and agent "agent-1"
    And control plane starts entry host "entry-2"
    And members of "entry-1,entry-2" have 3 hosts in state "live"
    And members of "entry-1,entry-2" have received reports of 3 hosts
    When members agent "agent-1" is ended by <signal>
    Then members of "entry-1,entry-2" have 1 hosts in state "<state>"

    Examples:
      | signal | state     |
      | stop   | leaving   |
      | kill   | suspected |
      | pause  | suspected |

  Scenario: members find each other by seed peers without a host list
    # Guards against processes that stay unknown to each other when they start
    # during an outage of the host list.
    Given control plane with a log that retains records for 60 s
    And control plane with entry host "entry-1" and agent "agent-1"
    When members host list has an outage
    And members start agent "agent-2" with the seed peer "entry-1"
    Then members of "entry-1,agent-2" have 3 hosts in state "live"
