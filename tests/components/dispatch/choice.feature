Feature: Selection of an upstream by dispatch
  A request sent to a worker that is draining, was restarted or has no allowed
  version fails or runs on the wrong weights. If all hosts select the same
  workers, these are overloaded while others have free slots.

  Scenario Outline: a local worker is <local>, a remote one is <delay> s further away than usual: selection is <outcome>
    # Closing the connection does not cancel a request that waits in a full
    # link: it reached the worker over half a second after its caller had left.
    Given dispatch knows a worker that is <local> and one that is remote
    And dispatch measures that the path to the remote data centre takes <delay> s longer than usual
    When dispatch selects an upstream for a request that is <kind>
    Then dispatch's selection is <outcome>

    Examples:
      | local    | delay | kind    | outcome    |
      | full     | 0.0   | new     | made       |
      | full     | 0.25  | new     | made       |
      | full     | 0.35  | new     | overloaded |
      | idle     | 0.35  | new     | made       |
      | draining | 0.35  | new     | overloaded |
      # A stream that has started is better continued late than broken off.
      | draining | 0.35  | resumed | made       |

  Scenario Outline: with one worker that is <property>, the selection is <outcome>
    Given dispatch knows a worker that is <property>
    When dispatch selects an upstream
    Then dispatch's selection is <outcome>

    Examples:
      | property                   | outcome     |
      | idle                       | made        |
      | draining                   | no_upstream |
      | of another service         | no_upstream |
      | without weights            | no_upstream |
      | half loaded                | no_upstream |
      | reported unreachable       | no_upstream |
      | reported as restarted      | no_upstream |
      | full                       | overloaded  |
      | full by reports            | overloaded  |
      | full by an old report      | made        |
      | in back-off                | overloaded  |
      | past its back-off          | made        |
      | leaving                    | no_upstream |
      | reported as leaving        | no_upstream |
      | restarted, and reported as leaving before | made |
      | paused                     | overloaded  |
      | past its pause             | made        |
      | registered complete, never reported | made |
      | registered empty, never reported | no_upstream |

  Scenario Outline: a refusal with a worker that is <property> gives the reason <reason>
    # Without the reason, a log does not show whether the version deadline had
    # passed or the worker had failed.
    Given dispatch knows a worker that is <property>
    And dispatch knows that version 2 was declared <ago> s ago
    When dispatch selects an upstream
    Then dispatch's refusal gives the reason <reason>

    Examples:
      | property             | ago | reason                              |
      | idle                 | 9   | 1 on version 1 (no longer allowed)  |
      | draining             | 1   | 1 draining                          |
      | leaving              | 1   | 1 leaving                           |
      | reported unreachable | 1   | 1 unreachable or restarted          |
      | half loaded          | 1   | 1 without complete weights          |
      | of another service   | 1   | none is listed                      |

  Scenario Outline: a worker that stated <statement> and then <event> receives <sent> after <later> s
    # The store loses entries during an outage and lists them again, which must
    # not undo what the worker has stated. Only another start of a worker is
    # known to have stated nothing.
    Given dispatch received from its worker the statement <statement>
    When dispatch's worker <event>
    Then dispatch sends <sent> to it after <later> s

    Examples: leaving
      | statement                 | event                          | later | sent    |
      | leaving                   | is listed still                | 0     | nothing |
      | leaving                   | is listed still                | 900   | nothing |
      | leaving                   | is unlisted and listed again   | 20    | nothing |
      | leaving                   | is listed as ready again       | 20    | nothing |
      | leaving                   | restarts under its id          | 0     | a request |
      | leaving                   | is unlisted and restarts       | 20    | a request |
      | leaving                   | gives its address to another   | 0     | a request |
      | leaving, then a pause of 1 s | is listed still             | 2     | nothing |

    Examples: a pause
      | statement                 | event                          | later | sent    |
      | a pause of 2 s            | is listed still                | 1.9   | nothing |
      | a pause of 2 s            | is listed still                | 2.1   | a request |
      | a pause of 0.3 s          | is listed still                | 0.2   | nothing |
      | a pause of 2 s            | is unlisted and listed again   | 1     | nothing |
      | a pause of 2 s            | restarts under its id          | 0     | a request |
      # A response that took longer to arrive does not end a longer pause.
      | a pause of 2 s, then a pause of 0.5 s | is listed still    | 1.9   | nothing |
      | a pause of 2 s            | is full for another request    | 1.9   | nothing |
      | a pause of 9e99 s         | is listed still                | 299   | nothing |
      | a pause of 9e99 s         | is listed still                | 301   | a request |

  Scenario Outline: with workers paused for <pauses> s, a request that may wait <wait> s is <outcome>
    # What can't be served in time is refused at once, with the time at which
    # the first worker takes requests again.
    Given dispatch knows workers that are paused for <pauses> s
    When dispatch receives a request that may wait <wait> s
    Then dispatch's reply is <outcome>

    Examples:
      | pauses   | wait | outcome                    |
      | 2        | 0.05 | refused at once until 2.00 |
      | 2, 3     | 0.05 | refused at once until 2.00 |
      | 3, 0.9   | 0.05 | refused at once until 0.90 |
      | 2, 0     | 0.05 | made                       |
      | 0.02     | 0.05 | made within its wait       |

  Scenario Outline: a worker that is <better> is selected before one that is <worse>
    Given dispatch knows a worker that is <better> and one that is <worse>
    When dispatch selects an upstream 50 times
    Then dispatch selects the first worker each time

    Examples:
      | better    | worse     |
      | idle      | busy      |
      | local     | remote    |
      | remote    | switching |
      | idle      | failing   |
      | remote    | failing   |
      | remote    | half full |
      # Opening a connection takes a round trip and work at both ends.
      | connected | idle      |
      | idle      | connected and busy |

  Scenario Outline: with version 2 just declared, a worker that is <better> is selected before one that is <worse>
    # A worker with an outdated version breaks off its streams when it switches.
    Given dispatch knows a worker that is <better> and one that is <worse>
    And dispatch knows that version 2 was declared 1 s ago
    When dispatch selects an upstream 50 times
    Then dispatch selects the first worker each time

    Examples:
      | better                | worse |
      | of version 2          | idle  |
      | remote, of version 2  | local |
      | idle                  | busy  |

  Scenario Outline: loaded version <loaded> is <verdict> when version <declared> was declared <ago> s ago
    When dispatch checks version <loaded> with <declared> declared <ago> s ago
    Then dispatch's check finds the version <verdict>

    Examples:
      | loaded | declared | ago  | verdict   |
      | 1      | 1        | 99   | allowed   |
      | 1      | 2        | 1    | allowed   |
      | 1      | 2        | 7    | allowed   |
      | 1      | 2        | 7.5  | forbidden |
      | 2      | 1        | 99   | allowed   |
      | 2      | 3        | 9    | forbidden |
      # A host that started later does not know when version 2 was declared.
      | 1      | 3        | 1    | forbidden |

  Scenario Outline: a stream on version <loaded> with <declared> declared <ago> s ago may start within <left>
    # A request that waits at a busy worker could start after the version
    # deadline.
    Given dispatch knows a worker that is of version <loaded>
    And dispatch knows that version <declared> was declared <ago> s ago
    When dispatch computes by when a stream must start
    Then dispatch lets the stream start within <left>

    Examples:
      | loaded | declared | ago | left     |
      | 2      | 3        | 1   | 6.70     |
      | 2      | 3        | 7   | 0.70     |
      | 2      | 2        | 7   | any time |

  Scenario Outline: an outdated worker that is <worker>, <ago> s after the declaration of version 2: selection for a <kind> request is <outcome>
    # A request that waits at the worker, or in a busy link to it, would start
    # on the outdated version after the version deadline.
    Given dispatch knows a worker that is <worker>
    And dispatch knows that version 2 was declared <ago> s ago
    When dispatch selects an upstream for a request that is <kind>
    Then dispatch's selection is <outcome>

    Examples: close to the version deadline
      | worker              | ago | kind    | outcome    |
      | without a free slot | 6.5 | new     | overloaded |
      | without a free slot | 6.5 | resumed | overloaded |
      | remote              | 6.5 | new     | overloaded |

    Examples: long before it, or with a free slot
      | worker              | ago | kind    | outcome    |
      | without a free slot | 1   | new     | made       |
      | remote              | 1   | new     | made       |
      | without a free slot | 1   | resumed | made       |
      | busy                | 6.5 | new     | made       |
      | busy                | 6.5 | resumed | made       |

  Scenario Outline: 30 requests/s on each of <hosts> hosts, a report <age> s old, <active> of 16 slots in use, <remote> remote workers: selection is <outcome>
    # Hosts that all select the last worker with a version before it reports
    # its load fill its queue.
    Given dispatch knows a worker whose report with <active> active is <age> s old
    And dispatch knows that version 2 was declared 6.5 s ago
    And dispatch knows <remote> remote workers that are idle
    And dispatch on one of <hosts> hosts counts 30 requests a second
    When dispatch selects an upstream for a request that is new
    Then dispatch's selection is <outcome>

    Examples:
      | hosts | age | active | remote | outcome    |
      | 1     | 0.2 | 8      | 0      | made       |
      | 7     | 0.1 | 0      | 0      | overloaded |
      | 7     | 0.1 | 0      | 27     | overloaded |
      | 3     | 0.1 | 8      | 0      | made       |
      | 3     | 0.2 | 8      | 0      | overloaded |
      | 1     | 1.3 | 0      | 0      | overloaded |

  Scenario Outline: a version declared 4 s ago has an age of <age> s after a suspension of <suspended> s
    # The monotonic clock stands still during a suspension, the version
    # deadline does not.
    Given dispatch receives version 2, declared 4 s ago
    When dispatch's host is suspended for <suspended> s
    Then dispatch sends <sent> to a worker with version 1

    Examples: no suspension
      | suspended | age | sent        |
      | 0         | 4   | one request |

    Examples: a suspension past the version deadline
      | suspended | age | sent        |
      | 5         | 9   | nothing     |

  Scenario: a newer version does not extend the deadline of the version before the last
    When dispatch checks version 1 with 2 declared 8 s ago and 3 declared 1 s ago
    Then dispatch's check finds the version forbidden

  Scenario Outline: with <requests> requests on one of <hosts> hosts, <retries> retries are allowed
    When dispatch on one of <hosts> hosts counts <requests> requests
    Then dispatch allows <retries> retries

    Examples:
      | requests | hosts | retries |
      | 0        | 1     | 71      |
      | 0        | 7     | 10      |
      | 100      | 7     | 24      |
      | 1000     | 7     | 150     |

  Scenario: requests before the retry window allow no retries
    When dispatch counts 1000 requests and 60 s pass
    Then dispatch allows 10 retries

  Scenario Outline: after the verdicts <verdicts> a worker is <state>
    When dispatch records the verdicts <verdicts>
    Then dispatch's worker is <state>

    Examples:
      | verdicts                      | state       |
      | answered                      | available   |
      | upstream_busy                 | in back-off |
      | reset_before_answer           | in back-off |
      | connect_failed                | in back-off |
      | caller_left                   | available   |
      | upstream_error                | available   |
      | reset_before_answer, answered | in back-off |

  Scenario Outline: a request whose caller leaves <when> does not occupy the worker afterwards
    # The worker would count as full for good if such an attempt never ended.
    Given dispatch knows one worker with capacity for 1 request
    When dispatch receives 2 requests and the caller of the <left> leaves
    Then dispatch counts <own> requests at the worker
    And dispatch replies to the next request <reply>

    Examples:
      | when                        | left   | own | reply         |
      | while it waits              | second | 1   | overloaded    |
      | before it reads the reply | first  | 1   | overloaded    |
      | before either ends          | both   | 0   | with a worker |

  Scenario Outline: with <first> before <second>, a report that frees <freed> serves <served>
    # A request that can't be sent must not hold up one behind it that can.
    Given dispatch knows full workers of drafting and of fees
    When dispatch receives requests that wait, <first> before <second>
    And dispatch receives a report that <freed> is free
    Then dispatch has served <served>

    Examples:
      | first                  | second               | freed           | served     |
      | one for drafting       | one for fees         | fees            | the second |
      | one for fees           | one for drafting     | drafting        | the second |
      | one for drafting       | one for drafting     | drafting        | the first  |
      | one for drafting       | an urgent one for drafting | drafting  | the second |
      | a retry that tried drafting | one for drafting | drafting       | the second |
      | one for drafting       | one for fees         | nothing         | neither    |

  Scenario Outline: a connection that is released after its upstream <event> is <state>
    # Nothing closes the idle connections of an upstream that is no longer
    # listed.
    Given dispatch runs an attempt on a connection
    When dispatch's upstream <event> and the attempt ends
    Then dispatch has <state> the connection

    Examples:
      | event            | state  |
      | stays listed     | kept   |
      | is unlisted      | closed |
      | restarts         | closed |
      | states to leave  | closed |

  Scenario Outline: <attempts> attempts at a silent worker, of which <ended> end as <verdict>
    # Guards against a worker that hangs and is selected again and again, since
    # its attempts stay open or its callers leave.
    Given dispatch has two workers, of which one has <attempts> attempts
    When dispatch is told that they are silent, and that <ended> end as <verdict>
    Then dispatch has recorded a failure score of <score> for it

    Examples:
      | attempts | ended | verdict     | score |
      | 1        | 0     | silent      | 0.25  |
      | 4        | 0     | silent      | 0.68  |
      | 4        | 4     | caller_left | 0.68  |
      | 4        | 4     | superseded  | 0.68  |
      | 1        | 1     | answered    | 0.19  |
