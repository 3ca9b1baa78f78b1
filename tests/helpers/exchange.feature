Feature: Answers that do not end
  A worker in trouble may send bytes without end. The one request that meets
  them must fail in time, and all others must go on meanwhile.

  Scenario Outline: an answer with endless <part> ends as <verdict>
    Given exchange with a sender of endless <part>
    When exchange reads an answer with a silence of 0.4 s and a deadline of 2 s
    Then exchange ends as <verdict> within <longest> s
    And exchange held at most 1 MB for it
    And exchange let other tasks run
    And exchange closed the connection

    Examples:
      | part                | verdict             | longest |
      | header              | reset_before_answer | 1       |
      | headers             | reset_before_answer | 1       |
      | reason              | reset_before_answer | 1       |
      | interim answers     | reset_before_answer | 1       |
      | upgrade answers     | reset_before_answer | 1       |
      | garbage             | reset_before_answer | 1       |
      | body                | answer_too_large    | 1       |
      | chunks              | answer_too_large    | 1       |
      | unframed body       | answer_too_large    | 1       |
      # Such bytes are no part of the body, so its limit does not end them.
      | zeros of a length   | silent              | 1       |
      | chunk extension     | silent              | 1       |
      | trailers            | silent              | 1       |
      | trailer             | silent              | 1       |

  Scenario Outline: an answer with endless <part> in small pieces is silent
    # Each piece would begin the time of silence anew.
    Given exchange with a slow sender of endless <part>
    When exchange reads an answer with a silence of 0.4 s and a deadline of 2 s
    Then exchange ends as silent within 1 s
    And exchange closed the connection

    Examples:
      | part            |
      | header          |
      | headers         |
      | interim answers |
      | chunk extension |
      | trailers        |
