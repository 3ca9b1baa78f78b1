Feature: Breaks of connections that may be crashes of workers
  A connection breaks for many reasons. A worker that goes on running is no
  suspect's victim, and many breaks at once must not cost a check each.

  Scenario Outline: <breaks> breaks on a worker that is <state> count as <crashes> crashes after at most <checks> checks
    Given quarantine runs beside a dispatch whose worker is <state>
    When quarantine receives <breaks> breaks on that worker and 3 s pass
    Then quarantine tells other hosts of <crashes> crashes
    And quarantine asked for the worker's state at most <checks> times

    Examples:
      | breaks | state   | crashes | checks |
      | 1      | running | 0       | 1      |
      | 1      | crashed | 1       | 1      |
      | 100    | crashed | 1       | 1      |
      | 1      | unknown | 0       | 9      |
      | 100    | unknown | 0       | 9      |

  Scenario Outline: a worker that <state> is held to be <verdict>
    Then dispatch holds a worker that <state> to be <verdict>

    Examples:
      | state                                  | verdict |
      | is no longer listed                    | unknown |
      | is draining                            | running |
      | has stated that it leaves              | running |
      | is listed with another start           | crashed |
      | has not reported since                 | unknown |
      | reports that it is unreachable         | crashed |
      | reports the same start                 | running |
      | reports another start                  | crashed |
