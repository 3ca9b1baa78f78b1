Feature: Responses that do not end
  A faulty worker may send bytes without end. Its request must fail within the
  limits of time and size. Without them it would run for ever, use up the
  memory, or keep other requests of the process from running.

  Scenario Outline: a response with endless <part> ends as <verdict>
    Given exchange with a sender of endless <part>
    When exchange reads it with a silence time-out of 0.4 s and a deadline of 2 s
    Then exchange ends as <verdict> within <max_s> s
    And exchange used at most 1 MB of memory
    And exchange did not block other greenlets
    And exchange closed the connection

    Examples:
      | part                    | verdict             | max_s |
      | header                  | reset_before_answer | 1     |
      | headers                 | reset_before_answer | 1     |
      | reason                  | reset_before_answer | 1     |
      | interim responses       | reset_before_answer | 1     |
      | upgrade responses       | reset_before_answer | 1     |
      | garbage                 | reset_before_answer | 1     |
      | body                    | answer_too_large    | 1     |
      | chunks                  | answer_too_large    | 1     |
      | unframed body           | answer_too_large    | 1     |
      # These bytes are not part of the body, so its size limit does not apply.
      | zeros in a chunk length | silent              | 1     |
      | chunk extension         | silent              | 1     |
      | trailers                | truncated           | 1     |
      | trailer                 | silent              | 1     |

  Scenario Outline: a response with endless <part> sent slowly is silent
    # The bytes must not restart the silence time-out, although they arrive in
    # time.
    Given exchange with a slow sender of endless <part>
    When exchange reads it with a silence time-out of 0.4 s and a deadline of 2 s
    Then exchange ends as silent within 1 s
    And exchange closed the connection

    Examples:
      | part              |
      | header            |
      | headers           |
      | interim responses |
      | chunk extension   |
      | trailers          |

  Scenario Outline: a connection that is <state> with descriptor <descriptor> or above is <kept>
    # select() accepts no descriptor above 1023. An entry host has thousands of
    # connections, and requests on it failed.
    Given exchange with a connection of descriptor <descriptor> or above that is <state>
    Then exchange considers the connection <kept>

    Examples:
      | descriptor | state            | kept   |
      | 3          | idle             | usable |
      | 3          | closed by peer   | closed |
      | 3          | with unread data | closed |
      | 1024       | idle             | usable |
      | 1024       | closed by peer   | closed |
      | 1024       | with unread data | closed |

  Scenario Outline: after an early response and a request of <size> KiB, sent <how>, the connection is <kept>
    # A worker may respond before it has read a long body and read on later. The
    # next request on the connection would take the place of the unsent rest.
    Given exchange with a peer that responds <response> before it reads the body
    When exchange sends a request of <size> KiB through a buffer of <buffer> KiB
    Then exchange receives the response
    And exchange releases the connection as <kept>

    Examples:
      | response          | size | buffer | how     | kept   |
      | 503, keep-alive   | 1    | 64     | whole   | usable |
      | 503, keep-alive   | 4096 | 64     | in part | closed |
      | 200, keep-alive   | 4096 | 64     | in part | closed |
      | 503, close        | 1    | 64     | whole   | closed |

  Scenario Outline: a response whose <part> is invalid, sent <when> its head, ends as <verdict>
    # The verdict must not depend on how the bytes were divided into packets: a
    # head that states that the request was not run would be lost.
    Given exchange with a peer that sends an invalid <part> <when> its head
    When exchange reads it with a silence time-out of 0.4 s and a deadline of 2 s
    Then exchange ends as <verdict> within 1 s
    And exchange has read the status <status>

    Examples:
      | part     | when  | verdict             | status |
      | chunk    | with  | truncated           | 503    |
      | chunk    | after | truncated           | 503    |
      | trailers | with  | truncated           | 503    |
      | trailers | after | truncated           | 503    |
      | header   | with  | reset_before_answer | 0      |
