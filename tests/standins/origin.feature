Feature: Origin stand-in
  The figure origin_copies is computed from the byte counter, so refused
  requests must not count. A corrupt chunk must not match its digest.

  Scenario Outline: a chunk is right, corrupt or refused
    Given origin stand-in with options "<options>" and switches <switches>
    When origin stand-in receives 2 requests for the first chunk
    Then origin stand-in responded with <results> and counted <bytes_sent> bytes

    Examples:
      | options             | switches              | results       | bytes_sent |
      |                     | {}                    | right right   | 10000      |
      |                     | {"busy": true}        | 429 429       | 0          |
      |                     | {"down": true}        | 503 503       | 0          |
      |                     | {"corrupt_chunks": 1} | corrupt right | 10000      |
      | requests_per_s=0.01 | {}                    | right 429     | 5000       |
