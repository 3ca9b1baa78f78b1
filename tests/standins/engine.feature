Feature: Engine stand-in
  Mixed weights and stale orders can be detected only if the engine serves
  exactly what it was given and can be told to ignore fencing numbers.

  Scenario Outline: orders change what is served
    Given engine stand-in with options "<options>" and switches <switches>
    When engine stand-in receives orders <orders>
    Then engine stand-in answered <answers> and serves "<version>"

    Examples:
      | options              | switches                  | orders                            | answers     | version |
      |                      | {}                        | load-v1-5 activate-v1-5           | 200 200     | v1      |
      |                      | {}                        | activate-v1-5                     | 409         |         |
      |                      | {}                        | corrupt-v1-5 activate-v1-5        | 422 409     |         |
      |                      | {}                        | load-v1-5 load-v2-4 activate-v1-5 | 200 409 200 | v1      |
      | checks_fencing=false | {}                        | load-v1-5 load-v2-4 activate-v2-4 | 200 200 200 | v2      |
      |                      | {"checks_fencing": false} | load-v1-5 load-v2-4 activate-v2-4 | 200 200 200 | v2      |
      |                      | {"ignore_orders": 1}      | load-v1-5 activate-v1-5           | 200 409     |         |

  Scenario Outline: a generation is right, or faulty as switched
    Given engine stand-in that serves v1 with switches <switches>
    When engine stand-in is asked for a <form> answer
    Then engine stand-in gave a "<verdict>" answer after 1 requests

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
