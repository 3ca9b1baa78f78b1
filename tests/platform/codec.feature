Feature: Heads of requests and responses
  Guards against headers that are lost, or forged by a caller, on the way to
  the worker. Headers are forwarded unchanged, except for those that concern
  one connection and those that the system sets itself.

  Scenario Outline: a caller's header <header> is <fate>
    When codec forwards a request with the header <header>
    Then codec's worker receives <received>

    Examples:
      | header                      | fate      | received                     |
      | X-Model: m                  | kept      | X-Model: m                   |
      | X-Token-Count: 5,6          | kept      | X-Token-Count: 5,6           |
      | X-Attempt-Id: abc           | kept      | X-Attempt-Id: abc            |
      | Authorization: Token secret | left out  | no Authorization             |
      | X-Tenant: forged            | replaced  | X-Tenant: tenant-1           |
      | X-Expect-Instance: forged   | replaced  | X-Expect-Instance: worker-1  |
      | X-Deadline-Ms: 6000         | replaced  | X-Deadline-Ms: 1500          |
      | Last-Event-Id: 3            | replaced  | Last-Event-Id: 7             |
      | Connection: X-Hop           | left out  | no Connection                |
      | Transfer-Encoding: chunked  | left out  | no Transfer-Encoding         |
      | Path: 10.0.0.1:80=0-4       | left out  | no Path                      |

  Scenario: a header named by Connection is not forwarded
    When codec forwards a request with a header named by Connection
    Then codec's worker receives no X-Hop

  Scenario Outline: a request that <origin> is sent with <priority>
    When codec forwards a request that <origin>
    Then codec's worker receives <priority>

    Examples:
      # A resumed stream that is queued behind new requests pauses too long.
      | origin                    | priority              |
      | resumes a stream          | X-Request-Priority: 0 |
      | is new                    | no X-Request-Priority |

  Scenario Outline: a response <status> with <header> is <meaning>
    When codec decodes a response <status> with <header>
    Then codec's response is <meaning>

    Examples:
      | status | header                | meaning     |
      | 200    | X-Server-Seal: a.b    | sealed      |
      | 200    | Server: x             | unsealed    |
      | 503    | X-Not-Executed: 1     | not run     |
      | 421    | X-Instance-Id: i-2    | misdirected |
      | 200    | Content-Encoding: gzip | encoded    |
      | 200    | Keep-Alive: timeout=5 | idle 5      |
      | 200    | X-Weight-Versions: 3  | of version 3 |
      | 200    | X-Weight-Versions: x  | of no version |
      # A worker that leaves gets no new requests from then on.
      | 200    | Server-Leaving: 1     | leaving     |
      | 200    | server-leaving:  1    | leaving     |
      | 503    | Server-Leaving: 1     | leaving     |
      | 421    | Server-Leaving: 1     | leaving     |
      | 500    | Server-Leaving: 1     | leaving     |
      | 200    | Server-Leaving: 0     | unleaving   |
      | 200    | Server-Leaving: yes   | unleaving   |
      | 200    | X-Leaving: 1          | unleaving   |
      | 503    | Retry-After: 2        | pausing 2   |
      | 503    | Retry-After: 0.25     | pausing 0.25 |
      | 503    | Retry-After: 99999999999999999 | pausing 99999999999999999 |
      | 429    | Retry-After: 2        | pausing 0   |
      | 200    | Retry-After: 2        | pausing 0   |
      # Anything else is no number of seconds.
      | 503    | Retry-After: -1       | pausing 0   |
      | 503    | Retry-After: 1e9      | pausing 0   |
      | 503    | Retry-After: nan      | pausing 0   |
      | 503    | Retry-After: soon     | pausing 0   |
      | 503    | Retry-After: Sat, 05 Dec 2026 07:28:00 GMT | pausing 0 |

  Scenario Outline: a response <status> with the headers <headers> is <meaning>
    When codec decodes the headers <headers> of a response <status>
    Then codec's response is <meaning>

    Examples: a header that comes twice
      | status | headers                              | meaning     |
      | 200    | Server-Leaving: 1, Server-Leaving: 1 | leaving     |
      | 200    | Server-Leaving: 0, Server-Leaving: 1 | leaving     |
      | 200    | Server-Leaving: 1, Server-Leaving: x | leaving     |
      | 503    | Retry-After: 1, Retry-After: 3       | pausing 3   |
      | 503    | Retry-After: 2, Retry-After: never   | pausing 2   |

    Examples: an empty header
      | status | headers                | meaning     |
      | 200    | Server-Leaving:        | unleaving   |
      | 503    | Retry-After:           | pausing 0   |

  Scenario Outline: a deadline of <deadline> is <outcome>
    When codec decodes a request with the deadline <deadline>
    Then codec's outcome is <outcome>

    Examples:
      | deadline | outcome     |
      | 6000     | 6.0         |
      | soon     | bad_request |
      | -1       | bad_request |
