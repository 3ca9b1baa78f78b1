Feature: Short calls to the platform
  A worker, an origin or a store in trouble may send bytes without end. An
  agent has little memory and one connection for its worker's reports, so no
  call may take more than its share of memory and time.

  Scenario Outline: a <client> ends although endless <part> arrive
    Given http peer with a sender of endless <part>
    When http peer is sent a <client>
    Then http call ends as <kind> within 2 s
    And http call held at most <most> MB for it
    And http call let other tasks run
    And http call closed the connection

    Examples:
      | client      | part              | kind               | most |
      | worker call | body              | engine_unavailable | 12   |
      | worker call | unframed body     | engine_unavailable | 12   |
      | worker call | header            | engine_unavailable | 12   |
      | worker call | interim answers   | engine_unavailable | 12   |
      | store read  | body              | log_unavailable    | 24   |
      | store read  | unframed body     | log_unavailable    | 24   |
      | exchange    | body              | log_unavailable    | 48   |
      | kept call   | body              | -                  | 1    |
      | kept call   | header            | -                  | 1    |
      | kept call   | chunk extension   | -                  | 1    |
      | kept call   | trailers          | -                  | 1    |
      | kept call   | zeros of a length | -                  | 1    |

  Scenario Outline: a call ends although endless <part> arrive in small pieces
    # A limit on the time of silence alone would never end it.
    Given http peer with a slow sender of endless <part>
    When http peer is sent a kept call
    Then http call ends as - within 2 s
    And http call closed the connection

    Examples:
      | part            |
      | body            |
      | unframed body   |
      | header          |
      | interim answers |
      | trailers        |

  Scenario Outline: after an answer that was <fault> the next call is answered
    Given http peer that answers
    And http peer's next answer is <fault>
    When http peer is sent 2 calls one after another
    Then http calls were answered <answers>
    And http peer saw <connections> connections

    Examples:
      | fault        | answers     | connections |
      | none         | right right | 1           |
      | repeated     | right right | 2           |
      | crossed      | other right | 1           |
      | truncated    | none right  | 2           |
      | silent       | none right  | 2           |
      | garbage      | none right  | 2           |
      | reset_before | none right  | 2           |
      | too_large    | none right  | 2           |
      # The platform's own servers may end an answer with its connection.
      | unframed     | right right | 2           |

  Scenario Outline: a <method> over a kept connection that <ends>
    # The connection may end while the request is on its way. A repeated order
    # or append could take effect twice.
    Given http peer that answers
    When http peer <ends> a kept connection before the next <method>
    Then http calls were answered <answers>

    Examples:
      | method | ends                 | answers     |
      | GET    | closes               | right right |
      | POST   | closes               | right right |
      | GET    | closes once it reads | right right |
      | PUT    | closes once it reads | right right |
      | POST   | closes once it reads | right none  |

  Scenario: calls at once share the connections that are allowed
    Given http peer that answers
    When http peer is sent 6 calls at once
    Then http calls were answered right right right right right right
    And http peer saw 2 connections

  Scenario Outline: a path with <text> is one path to the peer
    # Names of models come from operators and become part of paths.
    Given http peer that answers
    When http peer is asked for a path with <text>
    Then http peer was asked for <path>

    Examples:
      | text              | path          |
      | a query           | /p/a?b=1&c=2  |
      | a space           | /p/a%20b      |
      | the end of a line | /p/a%0D%0Ab   |
      | another alphabet  | /p/%C3%A4     |
