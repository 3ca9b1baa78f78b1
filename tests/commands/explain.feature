Feature: The story of a request
  An on-call engineer has a request's id and the logs of several hosts, some
  with lines that are cut and clocks that disagree.

  Scenario Outline: log lines with <property> give the story <story>
    When explain reads log lines with <property> for the request a1
    Then explain tells <story>

    Examples:
      | property         | story                              |
      | one host         | picked, ended                      |
      | two hosts        | picked, failed, picked, ended      |
      | a cut line       | picked                             |
      | a clock that jumps back | picked, ended               |
      | other requests   | nothing                            |
      | a similar id     | nothing                            |
