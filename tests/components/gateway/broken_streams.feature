Feature: Responses that break off, and what may follow a stream that has begun
  A worker may stop anywhere in its response. Callers found the text of an error
  in the middle of their stream, or a stream or body that ended early as if it
  were complete.

  Scenario Outline: a stream that breaks off, and goes on with <second>, ends as <response>
    Given gateway's first worker sends one event and <break>
    And gateway's second worker sends <second>
    When gateway is sent a stream that may be resumed once
    Then gateway's caller receives <response>

    Examples: the rest of the stream
      | break                   | second                            | response      |
      | closes                  | the next event in chunks          | both events   |
      | resets                  | the next event in chunks          | both events   |
      | closes inside an event  | the next event in chunks          | both events   |
      | resets inside an event  | the next event in chunks          | both events   |
      | closes inside an event  | the next event without a length   | both events   |
      | closes inside an event  | the next event without a type     | both events   |
      | closes inside an event  | no further event, in chunks       | one event     |

    Examples: a response that is not the rest of the stream
      | break                  | second                             | response      |
      | closes inside an event | status 200 of type application/json | broken, one event |
      | closes inside an event | status 200 of type text/plain      | broken, one event |
      | closes inside an event | status 201 of type text/html       | broken, one event |
      | closes inside an event | status 204 of type text/event-stream | broken, one event |
      | closes inside an event | status 206 of type text/event-stream | broken, one event |
      | closes inside an event | status 301 of type text/html       | broken, one event |
      | closes inside an event | status 304 of type text/event-stream | broken, one event |
      | closes inside an event | status 400 of type text/plain      | broken, one event |
      | closes inside an event | status 404 of type text/event-stream | broken, one event |
      | closes inside an event | status 409 of type application/json | broken, one event |
      | closes inside an event | status 429 of type text/event-stream | broken, one event |
      | closes inside an event | status 500 of type text/event-stream | broken, one event |
      | closes inside an event | status 503 of type text/plain      | broken, one event |
      | closes inside an event | status 599 of type text/event-stream | broken, one event |
      | closes inside an event | an unsealed stream                 | broken, one event |
      | closes inside an event | nothing without a length           | broken, one event |
      | closes inside an event | half an event without a length     | broken, one event |
      | closes inside an event | half an event in chunks            | broken, one event |
      | closes inside an event | the next event in cut chunks       | broken, both events |
      | closes inside an event | half a head                        | broken, one event |

  Scenario Outline: a stream that breaks off, and goes on with <second>, is logged with the cause <cause>
    # Guards against responses that end without a line that says why.
    Given gateway's first worker sends one event and <break>
    And gateway's second worker sends <second>
    When gateway is sent a stream that may be resumed once
    Then gateway's log says that r1 ended as <outcome> after event <event>, with the cause <cause>

    Examples:
      | break                | second                        | outcome    | event | cause                      |
      | closes               | the next event in chunks      | answered   | -     | -                          |
      | closes               | half a head                   | broken_off | 1     | truncated, then upstream_failed: reset_before_answer |
      | resets inside an event | the next event in cut chunks | broken_off | 2     | truncated, no attempt may follow |

  Scenario Outline: a <kind> whose only worker sends <sent> ends as <response>
    Given gateway's first worker sends <sent>
    When gateway is sent a <kind> for one attempt
    Then gateway's caller receives <response>

    Examples: streams
      | kind   | sent                                | response          |
      | stream | the first event without a length    | one event         |
      | stream | the first event in chunks           | one event         |
      | stream | half an event without a length      | 502               |
      | stream | half an event in chunks             | 502               |
      | stream | an event and a half without a length | broken, one event |
      | stream | an event and a half in chunks       | broken, one event |
      | stream | nothing without a length            | 502               |
      | stream | half a head                         | 502               |
      | stream | a head without its empty line       | 502               |
      | stream | status 404 of type application/json | 404, whole body   |
      | stream | status 400 of type text/event-stream | 400, whole body  |
      | stream | status 200 of type application/json | 200, whole body   |

    Examples: bodies
      | kind | sent                          | response        |
      | body | half a head                   | 502             |
      | body | a head without its empty line | 502             |
      | body | half a status line            | 502             |
      | body | half a body                   | 502             |
      | body | a body without a length       | 200, whole body |
      | body | nothing without a length      | 502             |
      | body | a reset body without a length | 502             |
