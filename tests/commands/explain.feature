Feature: The history of a request from log lines
  Guards against a history that lacks events, has them in a wrong order or
  mixes requests, because log lines are truncated, the hosts' clocks disagree
  or ids are similar.

  Scenario Outline: log lines with <property> give the history <history>
    When explain reads log lines with <property> for the request a1
    Then explain shows <history>

    Examples:
      | property                  | history                       |
      | one host                  | picked, ended                 |
      | two hosts                 | picked, failed, picked, ended |
      | a truncated line          | picked                        |
      | a clock that was set back | picked, ended                 |
      | other requests            | nothing                       |
      | a similar id              | nothing                       |
