Feature: Log lines and their reader
  Guards against lines that are lost without a trace, above all those of the
  last requests before a process ends, and against requests that wait for the
  reader of standard output.

  Scenario Outline: <lines> lines to a reader that <reads>: <received> are received by the end
    When a process logs <lines> lines to a reader that <reads>, and ends
    Then the reader has received <received> lines and a count of <dropped> dropped lines
    And logging and the end took at most <seconds> s

    Examples:
      | lines | reads         | received | dropped | seconds |
      | 1     | reads at once | 1        | 0       | 0.3     |
      | 300   | reads at once | 300      | 0       | 0.3     |
      | 1900  | reads at once | 1900     | 0       | 0.3     |
      | 2050  | reads at once | 2000     | 50      | 0.3     |
      | 1900  | does not read | part     | 0       | 0.3     |
