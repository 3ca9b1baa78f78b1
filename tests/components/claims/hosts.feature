Feature: Claims between entry hosts
  Guards against an action that runs at two entry hosts, and against a request
  whose entry host never gets to know whether it may run the action. Causes are
  outages of the log, a stopped or restarted owner, lost replies, and host
  lists that differ. Three entry hosts use the stand-in log over HTTP and call
  each other over thrift. By the full host list, h1 owns the partition.

  Scenario Outline: <case>
    Given three entry hosts with claims over the stand-in log
    When the claims hosts run "<steps>"
    Then the claims hosts get the replies "<replies>"

    Examples: without faults
      | case                        | steps                                             | replies                       |
      | repeats at several hosts    | all claim-together                                | granted; running; running     |
      | outcome is replayed         | h2 claims; h2 reports; h3 claims; h1 finds        | granted; stored; done booked; done booked |
      | not run is final            | h2 claims; h2 closes; h3 claims                   | granted; stored; not_run      |
      | same key, other request     | h2 claims a; h3 claims b                          | granted; reused               |
      | spelling of the key         | h2 claims; the key upper; h3 claims; h3 finds | granted; running; running |
      | nothing is known            | h2 finds                                          | outcome_not_found             |
      | outcome without a claim     | h2 reports                                        | failed                        |
      | outcome by another host     | h2 claims; h3 reports                             | granted; failed               |
      | key is not a UUID           | the key text; h2 claims                           | key_invalid                   |
      | key is a random UUID        | the key random; h2 claims                         | key_invalid                   |
      | key is too old              | the key 601; h2 claims                            | key_expired                   |
      | key is from the future      | the key -60; h2 claims                            | key_invalid                   |

    Examples: faults
      | case                                  | steps                                                         | replies                          |
      | reply of the append lost              | the log up 1; h2 claims; h3 claims                            | granted; running                 |
      | log outage                            | the log out 0; h2 claims; the log up 0; h3 claims-patiently             | unavailable; granted             |
      | log outage after the run              | h2 claims; the log out 0; h2 reports; the log up 0; h2 recorded; h3 claims | granted; failed; done booked |
      | owner stopped                         | h1 stops; h2 claims                                           | unavailable                      |
      | owner died, the next takes over       | h2 claims; h1 stops; h2 lists h2 h3; h3 lists h2 h3; h3 claims-patiently | granted; running                |
      | owner restarted                       | h2 claims; h1 restarts; h3 claims                             | granted; running                 |
      | outcome while the owner is down       | h2 claims; h1 stops; h2 reports; h2 lists h2 h3; h3 lists h2 h3; h2 recorded; h3 claims | granted; failed; done booked |
      | host lists differ                     | h2 lists h2; h2 claims; h3 claims; h2 reports; h3 claims      | granted; running; stored; running |
      | listed owner is not the owner         | h2 leaves-to h3; h2 claims                                    | unavailable                      |
      | reply of the owner lost once          | h2 loses-replies 1; h2 claims; h3 claims                      | granted; running                 |
      | replies of the owner lost             | h2 loses-replies 99; h2 claims; h2 lists h1 h2 h3; h2 recorded; h3 claims | unavailable; not_run |
