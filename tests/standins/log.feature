Feature: Log stand-in
  Claims rely on offsets without gaps, and on an append taking effect although
  its response is lost. A stand-in that dropped such an append would hide a
  second execution of a request.

  Scenario Outline: an append takes effect or is refused
    Given log stand-in with options "<options>" and switches <switches>
    When log stand-in receives 2 appends of 2 records
    Then log stand-in responded with <statuses> and holds offsets <offsets>

    Examples:
      | options            | switches            | statuses   | offsets |
      |                    | {}                  | 200 200    | 0 1 2 3 |
      |                    | {"outage": true}    | 503 503    | none    |
      |                    | {"lose_replies": 1} | closed 200 | 0 1 2 3 |
      | appends_per_s=0.01 | {}                  | 200 429    | 0 1     |

  Scenario Outline: records expire and their offsets are not used again
    Given log stand-in with options "<options>" and switches {}
    When log stand-in receives 1 appends of 2 records
    Then log stand-in moves its earliest offset to 2 and its next is 2

    Examples:
      | options         |
      | retention_s=0.1 |
