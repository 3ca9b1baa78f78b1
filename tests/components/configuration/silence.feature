Feature: Reads of the log service that begin before it becomes silent
  A configuration has to be in force everywhere within 8 s. A read that waits
  for a change longer than that, and is never answered, keeps a host on the old
  one although the log service responds to others.

  Scenario Outline: the log is silent for <silent> s, and a record of its return is read within 8 s
    Given configuration's log, which becomes silent during a long poll
    When configuration's log responds again after <silent> s
    Then configuration has read a record of that moment within 8 s

    Examples:
      | silent |
      | 0.5    |
      | 6.0    |
