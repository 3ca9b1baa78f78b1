Feature: Operator commands for the configuration
  Guards against an invalid file that is published, and against errors that
  do not help: an error takes one line and names the file, the path, the value
  and what was expected.

  Scenario Outline: commands check files offline
    # Guards against an error that is reported for the wrong file.
    Given commands with a base file and an overlay, changed by <change>
    When commands run "config check BASE genkai=OVERLAY"
    Then commands exit with <code> and print <output>

    Examples:
      | change                | code | output                              |
      | nothing               | 0    | valid=true sites=genkai             |
      | a missing base        | 1    | error=config_invalid file=BASE      |
      | text in the overlay   | 1    | error=config_invalid file=OVERLAY   |
      | a wrong base value    | 1    | file=BASE site=genkai path=limits.in_flight_max value=0 expected="must be bigger than or equal to 1" |
      | a wrong overlay value | 1    | file=OVERLAY site=genkai path=limits.in_flight_max value="many" expected="must be integer" |
      | an unknown model      | 1    | file=BASE site=genkai path=services.advice.model value="canoe" expected="a name under models" |
      | an unknown field      | 1    | file=BASE site=genkai path=. value=  |

  Scenario Outline: commands refuse wrong usage
    # Guards against scripts that take wrong usage (exit code 2) for a refused
    # configuration (exit code 1).
    Given commands with a base file and an overlay, changed by nothing
    When commands run "<arguments>"
    Then commands exit with <code> and print <output>

    Examples:
      | arguments                                   | code | output             |
      | config check BASE genkai                    | 2    | expected="site=file" |
      | config check BASE genkai=OVERLAY genkai=OVERLAY | 2 | one overlay for each site |
      | config show                                 | 2    | either --log-url or --admin |
      | config publish --base BASE                  | 2    | --log-url          |
      | status --host-list-url http://127.0.0.1:9   | 1    | error=host_list_unavailable |
      | config publish --base BASE --log-url http://127.0.0.1:9 | 1 | error=log_unavailable |
      | config --help                               | 0    | publish            |
      | config check --help                         | 0    | Example: apricotpin config check |
      | config publish --help                       | 0    | Example: apricotpin config publish |
      | config show --help                          | 0    | Example: apricotpin config show |
      | rollout start --help                        | 0    | Example: apricotpin rollout start |
      | rollout status --help                       | 0    | Example: apricotpin rollout status |
      | status --help                               | 0    | Example: apricotpin status |
      | explain --help                              | 0    | Example: apricotpin explain |
      | explain a1 /nowhere                         | 1    | error=unreadable   |

  Scenario Outline: commands publish through a log with faults
    # Guards against a repeated append that is accepted twice or taken for a
    # conflict with itself, and against a lost change of the slower operator.
    Given commands with a base file and an overlay, changed by nothing
    And commands with a log stand-in
    And commands ran "config publish --base BASE --log-url LOG --author first"
    And commands set the fault <fault> of the log
    When commands run "<arguments>"
    Then commands exit with <code> and print <output>
    And commands find <records> records, of which <accepted> are accepted

    Examples:
      | fault             | arguments                                          | code | output | records | accepted |
      | none              | config publish --base BASE --log-url LOG           | 0    | accepted=true offset=1 based_on=0 | 2 | 2 |
      | none              | config publish --base BASE --log-url LOG --based-on -1 | 1 | error=config_conflict based_on=-1 in_force=0 winner="first" | 2 | 1 |
      | "lose_replies": 1 | config publish --base BASE --log-url LOG           | 0    | accepted=true offset=1 based_on=0 | 2 | 2 |
      | "outage": true    | config publish --base BASE --log-url LOG           | 1    | error=log_unavailable | 1 | 1 |
      | none              | config show --log-url LOG --site nowhere           | 0    | "accepted_offset": 0 | 1 | 1 |
      | none              | config publish --base BASE --overlay genkai=MISSING --log-url LOG | 1 | file=MISSING | 1 | 1 |

  Scenario: commands of operators who publish at the same time
    # Guards against two accepted configurations, or none.
    Given commands with a base file and an overlay, changed by nothing
    And commands with a log stand-in
    When commands publish from 4 operators at once
    Then commands report exactly one accepted configuration
