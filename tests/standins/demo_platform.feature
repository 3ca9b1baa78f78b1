Feature: Figures of the demo on the platform's stand-ins
  The demo must not pass a run in which a request failed, a worker loaded mixed
  weights or a version came too late.

  Scenario Outline: a response <status> with <body> to <path> is <outcome>
    When the platform demo receives a response <status> with <body> to <path>
    Then the platform demo counts it as <outcome>

    Examples:
      | status | body     | path      | outcome    |
      | 200    | answer   | /read/1   | ok         |
      | 200    | 4 events | /stream/1 | ok         |
      | 200    | 3 events | /stream/1 | wrong      |
      | 503    | answer   | /read/1   | status_503 |
      | 0      | nothing  | /order/1  | lost       |

  Scenario Outline: a rollout in <duration_s> s with <outcome>, version <version>: <verdict>
    When the platform demo ends in <duration_s> s with <outcome> and version <version>
    Then the platform demo's verdict is <verdict>

    Examples:
      | duration_s | outcome    | version | verdict |
      | 5.0        | ok         | 2       | ok      |
      | 8.1        | ok         | 2       | failed  |
      | 5.0        | lost       | 2       | failed  |
      | 5.0        | status_503 | 2       | failed  |
      | 5.0        | ok         | -1      | failed  |
