Feature: Engine stand-in
  Tests detect mixed weights and stale orders only if the engine serves exactly
  the bytes it received, and can be set to ignore fencing numbers.

  Scenario Outline: orders load and activate versions
    Given engine stand-in with options "<options>" and switches <switches>
    When engine stand-in receives orders <orders>
    Then engine stand-in responded with <statuses> and serves "<version>"

    Examples:
      | options              | switches                  | orders                            | statuses    | version |
      |                      | {}                        | load-v1-5 activate-v1-5           | 200 200     | v1      |
      |                      | {}                        | activate-v1-5                     | 409         |         |
      |                      | {}                        | corrupt-v1-5 activate-v1-5        | 422 409     |         |
      |                      | {}                        | load-v1-5 load-v2-4 activate-v1-5 | 200 409 200 | v1      |
      | checks_fencing=false | {}                        | load-v1-5 load-v2-4 activate-v2-4 | 200 200 200 | v2      |
      |                      | {"checks_fencing": false} | load-v1-5 load-v2-4 activate-v2-4 | 200 200 200 | v2      |
      |                      | {"ignore_orders": 1}      | load-v1-5 activate-v1-5           | 200 409     |         |

  Scenario Outline: a generation is right, or has the fault that was set
    Given engine stand-in that serves v1 with switches <switches>
    When engine stand-in receives a request for a <form> response
    Then engine stand-in gave a "<verdict>" response after 1 requests

    Examples:
      | form     | switches                            | verdict |
      | streamed | {}                                  | right   |
      | document | {}                                  | right   |
      | streamed | {"answer": "late", "delay_s": 0.05} | right   |
      | streamed | {"answer": "crossed"}               | wrong   |
      | document | {"answer": "crossed"}               | wrong   |
      | streamed | {"answer": "truncated"}             | lost    |
      | document | {"answer": "truncated"}             | lost    |
      | streamed | {"answer": "reset"}                 | lost    |
      | streamed | {"answer": "silent"}                | lost    |
