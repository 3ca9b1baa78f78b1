Feature: Plain service stand-in
  The count of executions is the only proof that a request ran at most once, so
  a request lost after its execution must count and a refused one must not.

  Scenario Outline: a request is executed and answered as switched
    Given plain stand-in with switches <switches>
    When plain stand-in receives an order
    Then plain stand-in gave a "<verdict>" answer and executed it <runs> times

    Examples:
      | switches                               | verdict | runs |
      | {}                                     | right   | 1    |
      | {"refuse_status": 503}                 | refused | 0    |
      | {"answer": "crossed"}                  | wrong   | 1    |
      | {"answer": "truncated"}                | lost    | 1    |
      | {"answer": "reset"}                    | lost    | 1    |
      | {"answer": "silent"}                   | lost    | 1    |
      | {"answer": "reset", "executes": false} | lost    | 0    |
      | {"answer": "reset", "answer_every": 2} | right   | 1    |

  Scenario Outline: an open connection goes silent and new ones work
    Given plain stand-in with switches {}
    When plain stand-in is switched to <switches> while a connection is open
    Then plain stand-in answers "<old>" there and "<new>" on a new connection

    Examples:
      | switches                  | old    | new |
      | {"answer": "silent_open"} | silent | 200 |
      | {"answer": "normal"}      | 200    | 200 |

  Scenario Outline: unknown switches are refused
    Given plain stand-in with switches {}
    Then plain stand-in refuses switches <switches>

    Examples:
      | switches            |
      | {"anser": "late"}   |
      | {"answer": "later"} |
      | {"answer_every": 0} |

  Scenario Outline: the process dies where it is told to
    Given plain stand-in as a process with switches <switches>
    When plain stand-in receives an order
    Then plain stand-in has ended

    Examples:
      | switches          |
      | {"answer": "die"} |
