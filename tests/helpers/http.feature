Feature: Short requests to the platform
  A faulty worker, origin or store may send bytes without end. An agent has
  little memory and only one connection for the reports of its worker. A
  request without limits of size and time would use up the memory or block the
  connection, so that the agent reports nothing more.

  Scenario Outline: a <client> ends although the peer sends endless <part>
    Given http peer with a sender of endless <part>
    When http peer is sent a <client>
    Then http call ends as <kind> within 2 s
    And http call used at most <max_mb> MB of memory
    And http call did not block other greenlets
    And http call closed the connection

    Examples:
      | client         | part                    | kind               | max_mb |
      | worker call    | body                    | engine_unavailable | 12     |
      | worker call    | unframed body           | engine_unavailable | 12     |
      | worker call    | header                  | engine_unavailable | 12     |
      | worker call    | interim responses       | engine_unavailable | 12     |
      | store read     | body                    | log_unavailable    | 24     |
      | store read     | unframed body           | log_unavailable    | 24     |
      | single request | body                    | log_unavailable    | 48     |
      | pooled call    | body                    | -                  | 1      |
      | pooled call    | header                  | -                  | 1      |
      | pooled call    | chunk extension         | -                  | 1      |
      | pooled call    | trailers                | -                  | 1      |
      | pooled call    | zeros in a chunk length | -                  | 1      |

  Scenario Outline: a call ends although the peer slowly sends endless <part>
    # The silence time-out alone would never end the call.
    Given http peer with a slow sender of endless <part>
    When http peer is sent a pooled call
    Then http call ends as - within 2 s
    And http call closed the connection

    Examples:
      | part              |
      | body              |
      | unframed body     |
      | header            |
      | interim responses |
      | trailers          |

  Scenario Outline: after a response that was <fault> the next call succeeds
    Given http peer that responds
    And http peer's next response is <fault>
    When http peer is sent 2 calls one after another
    Then http calls received responses <responses>
    And http peer accepted <connections> connections

    Examples:
      | fault        | responses   | connections |
      | none         | right right | 1           |
      | repeated     | right right | 2           |
      | crossed      | other right | 1           |
      | truncated    | none right  | 2           |
      | silent       | none right  | 2           |
      | garbage      | none right  | 2           |
      | reset_before | none right  | 2           |
      | too_large    | none right  | 2           |
      # The platform's own servers may end a response by closing the connection.
      | unframed     | right right | 2           |

  Scenario Outline: a <method> over a pooled connection that <ends>
    # The connection may be closed while the request is on its way. If it was
    # repeated, an order or append could take effect twice.
    Given http peer that responds
    When http peer <ends> a pooled connection before the next <method>
    Then http calls received responses <responses>

    Examples:
      | method | ends                 | responses   |
      | GET    | closes               | right right |
      | POST   | closes               | right right |
      | GET    | closes once it reads | right right |
      | PUT    | closes once it reads | right right |
      | POST   | closes once it reads | right none  |

  Scenario: simultaneous calls share the connections of the pool
    Given http peer that responds
    When http peer is sent 6 calls at once
    Then http calls received responses right right right right right right
    And http peer accepted 2 connections

  Scenario Outline: a path with <text> arrives as one path
    # Operators choose the names of models, which become part of paths. A line
    # break in a name must not end the request line.
    Given http peer that responds
    When http call requests a path with <text>
    Then http peer received the path <path>

    Examples:
      | text              | path         |
      | a query           | /p/a?b=1&c=2 |
      | a space           | /p/a%20b     |
      | the end of a line | /p/a%0D%0Ab  |
      | another alphabet  | /p/%C3%A4    |

  Scenario Outline: a client closed with <idle> idle connections leaves none open
    # Only the connection that was used last was closed.
    Given http peer that responds
    When http peer is sent <idle> calls at once, and the client is closed
    Then http peer has seen all <idle> connections end

    Examples:
      | idle |
      | 1    |
      | 2    |

  Scenario Outline: after an early response to <size> KiB, the next call uses <connections> connections
    # The rest of a body that was not sent must not be made up of the bytes of
    # the next request, for an origin, a store or a worker's own calls.
    Given http peer that responds before it reads the body
    When http peer is sent <size> KiB and then a short call
    Then http peer has had <connections> connections

    Examples:
      | size  | connections |
      | 1     | 1           |
      | 16384 | 2           |

  Scenario Outline: a request to be sent within <left> s, while connections are in use for <busy> s, is sent <times> times
    # An order to a worker must not take effect long after it was decided on.
    Given http peer that responds
    When http peer is to be sent a request within <left> s, while connections are in use for <busy> s
    Then http peer received the request <times> times

    Examples:
      | left | busy | times |
      | 5    | 0    | 1     |
      | 5    | 0.2  | 1     |
      | 0.1  | 0.2  | 0     |
      | -1   | 0    | 0     |
