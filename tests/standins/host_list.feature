Feature: Host list stand-in
  The platform's host list shows changes late. A stand-in that showed them at
  once would hide faults in code that relies on a current list.

  Scenario Outline: a change becomes visible only after the lag
    Given host list stand-in with a lag of <lag_s> s
    When host list stand-in receives host "a"
    Then host list stand-in shows <hosts>

    Examples:
      | lag_s | hosts |
      | 0     | a     |
      | 3600  | none  |
