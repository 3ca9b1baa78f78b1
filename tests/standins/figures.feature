Feature: Figures of the demo
  A figure that stays 0 whatever happens would let a faulty build pass the demo.

  Scenario Outline: executions of a key are compared with the caller's verdict
    Given figures of a key with the caller's verdict "<verdict>"
    When figures count <executions> executions of it on two services
    Then figures show not_idempotent_run_twice=<repeated> and not_run_but_run=<executed>

    Examples:
      | verdict | executions | repeated | executed |
      | right   | 1 0        | 0        | 0        |
      | right   | 2 0        | 1        | 0        |
      | right   | 1 1        | 1        | 0        |
      | no      | 0 0        | 0        | 0        |
      | no      | 1 0        | 0        | 1        |
      | unknown | 1 0        | 0        | 0        |

  Scenario Outline: an engine that serves neither version completely is mixed
    Given figures of a rollout from v1 to v2 on one engine
    When figures see version "<version>" with the digest of "<digest>"
    Then figures show <mixed> mixed hosts and complete is <complete>

    Examples:
      | version | digest | mixed | complete |
      | v1      | v1     | 0     | no       |
      | v2      | v2     | 0     | yes      |
      | v2      | v1     | 1     | yes      |
      | v3      | v1     | 1     | no       |

  Scenario Outline: the minimum time of a pipeline depends on chunks and replicas
    Then figures show a minimum of <limit_s> s for <chunks> chunks of 1000 bytes, <replicas> replicas and 1000 bytes/s

    Examples:
      | chunks | replicas | limit_s |
      | 10     | 1        | 9       |
      | 10     | 2        | 10      |
      | 10     | 9        | 13      |
      | 100    | 81       | 106     |
