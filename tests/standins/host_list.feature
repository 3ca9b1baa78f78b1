Feature: Host list stand-in
  Hosts must not be believed gone or present before the platform says so.

  Scenario Outline: a change shows after the lag only
    Given host list stand-in with a lag of <lag_s> s
    When host list stand-in is told of host "a"
    Then host list stand-in shows <hosts>

    Examples:
      | lag_s | hosts |
      | 0     | a     |
      | 3600  | none  |
