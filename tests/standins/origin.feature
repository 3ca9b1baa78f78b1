Feature: Origin stand-in
  The byte counter decides the figure origin_copies, so refusals must not count
  as bytes, and a corrupt chunk must differ from its digest.

  Scenario Outline: a chunk is right, corrupt or refused
    Given origin stand-in with options "<options>" and switches <switches>
    When origin stand-in is asked 2 times for the first chunk
    Then origin stand-in answered <answers> and counted <sent> bytes

    Examples:
      | options             | switches              | answers       | sent  |
      |                     | {}                    | right right   | 10000 |
      |                     | {"busy": true}        | 429 429       | 0     |
      |                     | {"down": true}        | 503 503       | 0     |
      |                     | {"corrupt_chunks": 1} | corrupt right | 10000 |
      | requests_per_s=0.01 | {}                    | right 429     | 5000  |
