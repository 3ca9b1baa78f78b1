Feature: Plain service stand-in
  Only the execution counter proves that a request was executed at most once.
  An execution whose response was lost must count, and a refused request must
  not.

  Scenario Outline: a request is executed or has the fault that was set
    Given plain stand-in with switches <switches>
    When plain stand-in receives an order
    Then plain stand-in gave a "<verdict>" response and executed it <executions> times

    Examples:
      | switches                               | verdict | executions |
      | {}                                     | right   | 1          |
      | {"refuse_status": 503}                 | refused | 0          |
      | {"answer": "crossed"}                  | wrong   | 1          |
      | {"answer": "truncated"}                | lost    | 1          |
      | {"answer": "reset"}                    | lost    | 1          |
      | {"answer": "silent"}                   | lost    | 1          |
      | {"answer": "reset", "executes": false} | lost    | 0          |
      | {"answer": "reset", "answer_every": 2} | right   | 1          |

  Scenario Outline: an open connection becomes silent and a new one works
    Given plain stand-in with switches {}
    When plain stand-in receives switches <switches> while a connection is open
    Then plain stand-in responds with "<old>" there and "<new>" on a new connection

    Examples:
      | switches                  | old    | new |
      | {"answer": "silent_open"} | silent | 200 |
      | {"answer": "normal"}      | 200    | 200 |

  Scenario Outline: unknown switches and invalid values are refused
    Given plain stand-in with switches {}
    Then plain stand-in refuses switches <switches>

    Examples:
      | switches            |
      | {"anser": "late"}   |
      | {"answer": "later"} |
      | {"answer_every": 0} |

  Scenario Outline: the process exits at the request that gets the fault
    Given plain stand-in as a process with switches <switches>
    When plain stand-in receives an order
    Then plain stand-in has ended

    Examples:
      | switches          |
      | {"answer": "die"} |
