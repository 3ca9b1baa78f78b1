Feature: State machine of a claims partition
  Guards against an action that runs twice, or that runs after "not_run" was
  replied for its key, because two attempts are granted the same key. Causes
  are lost, late or repeated messages, restarted or suspended owners, and two
  hosts that both consider themselves the owner of the partition, here A and B.

  Events: "asks" claims a key for an attempt, "finds" looks it up, "reports" and
  "closes" append its outcome or "not run". "lands" lets the log process the
  append or read of an owner, "replied" delivers the reply, "fails" loses the
  request or the reply, and "runs" continues until the owner waits for nothing.

  Scenario Outline: <case>
    Given owners of one claims partition over a simulated log
    When the claims owners go through "<events>"
    Then the claims replies are "<replies>"

    Examples: repeats
      | case                                | events                                                         | replies                             |
      | first attempt                       | A asks x; A runs                                               | x granted                           |
      | repeats of one key at once          | A asks x; A asks y; A asks z; A runs                           | x granted; y running; z running     |
      | repeats at two owners at once       | A asks x; B asks y; A runs; B runs                             | x granted; y running                |
      | repeats at two owners, crossing     | A asks x; B asks y; A lands; A replied; B lands; B replied; A lands; B lands; A replied; B replied; A runs; B runs | x granted; y running |
      | same key, other request             | A asks x; A runs; A asks y other; A runs                       | x granted; y reused                 |
      | same key, other request, in a batch | A asks x; A asks y other; A runs                               | x granted; y reused                 |
      | same attempt asks again             | A asks x; A runs; A asks x; A runs                             | x granted; x granted                |
      | same attempt asks the next owner    | A asks x; A runs; B asks x; B runs                             | x granted; x granted                |
      | same attempt after its outcome      | A asks x; A runs; A reports x; A runs; A asks x; A runs        | x granted; x report stored; x done 200 2 |

    Examples: outcomes
      | case                                 | events                                                              | replies                                     |
      | outcome is replayed                  | A asks x; A runs; A reports x; A runs; A asks y                     | x granted; x report stored; y done 200 2    |
      | outcome is replayed by next owner    | A asks x; A runs; A reports x; A runs; B asks y; B runs             | x granted; x report stored; y done 200 2    |
      | outcome too large to record          | A asks x; A runs; A reports-large x; A runs; A finds                | x granted; x report stored; find done 200 omitted |
      | outcome reported twice               | A asks x; A runs; A reports x; A runs; A reports x                  | x granted; x report stored; x report stored |
      | outcome of an attempt without claim | A asks x; A runs; A reports y; A runs; A asks z | x granted; y report failed; z running |
      | not run is final                     | A asks x; A runs; A closes x; A runs; A asks y; A runs; A asks x    | x granted; x close stored; y not_run; x not_run |
      | closing by an attempt without claim  | A asks x; A runs; A closes y; A runs; A asks z; A runs              | x granted; y close failed; z running        |
      | closing after the outcome            | A asks x; A runs; A reports x; A runs; A closes x                   | x granted; x report stored; x close failed  |
      | closing elsewhere after the outcome | A asks x; A runs; A reports x; A runs; B closes x; B runs; B asks y | x granted; x report stored; x close failed; y done 200 2 |
      | closed elsewhere, same attempt again | A asks x; A runs; B closes x; B runs; A asks x; A runs | x granted; x close stored; x not_run |
      | nothing is known of a key            | A finds; A runs                                                     | find absent                                 |
      | holder has not finished              | A asks x; A runs; A finds; A runs                                   | x granted; find running                     |

    Examples: holders that die or pause
      | case                                      | events                                                                        | replies                         |
      | holder died, within its timeout           | A asks x; A runs; A waits 29; A asks y                                        | x granted; y running            |
      | holder died, after its timeout            | A asks x; A runs; A waits 31; A asks y                                        | x granted; y unknown            |
      | holder died with the owner                | A asks x; A runs; A waits 31; A restarts; A asks y; A runs                    | x granted; y unknown            |
      | holder paused, reports after the timeout  | A asks x; A runs; A waits 31; A reports x; A runs; A asks y                   | x granted; x report stored; y done 200 2 |
      | owner paused past a take-over             | A asks x; A lands; A replied; B asks y; B runs; A runs                        | y granted; x running            |
      | owner paused before its append            | A asks w; A runs; A restarts; A asks x; A lands; A replied; B asks y; B runs; A runs | w granted; y running; x running |
      | claim of a former owner has no effect | A asks w/2; A runs; B asks v/3; B runs; A waits 1; A asks x; A lands; B waits 1; B asks y; B runs; A replied; A runs | w/2 granted; v/3 granted; y granted; x running |
      | owner paused after its append             | A asks x; A lands; A replied; A lands; B asks y; B runs; A replied             | y running; x granted            |
      | owner paused until the requester gave up | A asks x; A lands; A replied; A lands; A sleeps 3; A replied | x unavailable |

    Examples: log faults
      | case                                 | events                                                                        | replies                    |
      | appends are spaced | A asks x/2; A runs; A asks y/3; A lands; A replied; A lands; A replied | x/2 granted |
      | reply of the append lost             | A asks x; A lands; A replied; A lands; A fails; A runs                        | x granted                  |
      | append lost                          | A asks x; A lands; A replied; A fails; A runs                                 | x granted                  |
      | append lost, other owner was first   | A asks x; A lands; A replied; A fails; B asks y; B runs; A runs               | y granted; x running       |
      | append lost, repeated and late       | A asks x; A lands; A replied; A delayed; A runs; A arrives; A asks y; A runs   | x granted; y running       |
      | append lost, arrives after the next  | A asks x; A lands; A replied; A delayed; B asks y; B runs; A arrives; A runs   | y granted; x running       |
      | read fails                           | A asks x; A fails; A runs                                                     | x granted                  |
      | outage until the deadline            | A asks x; A fails; A lands; A replied; A fails; A waits 3                     | x unavailable              |
      | outage, same key afterwards          | A asks x; A fails; A waits 3; A asks y; A runs                                | x unavailable; y granted   |
      | grant lost, same key afterwards      | A asks x; A lands; A replied; A lands; A fails; A waits 3; A asks y; A runs    | x unavailable; y running   |
      | outcome during an outage | A asks x; A runs; A waits 1; A reports x; A fails; A waits 3; A runs; A reports x; A runs | x granted; x report failed; x report stored |
      | outcome append lost and repeated | A asks x; A runs; A waits 1; A reports x; A fails; A runs | x granted; x report stored |
      | log lost acknowledged records | A asks v/2; A runs; A truncates; A waits 1; A asks x; A lands; A replied; A lands; A replied; A waits 3 | v/2 granted; x unavailable |

    Examples: expiry
      | case                                | events                                                                           | replies                           |
      | key too old                         | A aged 601; A asks x                                                             | x expired                         |
      | key nearly too old                  | A aged 599; A asks x; A runs                                                     | x granted                         |
      | key from the future                 | A aged -6; A asks x                                                              | x invalid                         |
      | key a little from the future        | A aged -4; A asks x; A runs                                                      | x granted                         |
      | key expires while the append runs   | A aged 599; A asks x; A lands; A replied; A lands; A waits 1.5; A replied        | x expired                         |
      | claim dropped from memory           | A asks x; A runs; A waits 601; A sweeps; A asks y; A runs                        | x granted; y expired              |
      | records expired, owner kept running | A asks x; A runs; A waits 700; A expires; A asks y; A runs                       | x granted; y expired              |
      | records expired unread              | B asks x; B runs; A asks y; A waits 3; A restarts; A waits 700; A expires; A finds; A runs | x granted; y unavailable; find expired |
      | open record expired, claim kept | A asks w; A runs; A waits 300; A aged -300; A asks x; A runs; A waits 400; A expires; B asks x; B runs | w granted; x granted; x unknown |
      | take-over expired unread | A asks w; A runs; B asks v/2; B runs; B waits 700; B expires; B aged -700; B asks x; B runs; A asks y; A runs | w granted; v/2 granted; x granted; y running |
      | lifetime grows after a sweep | A asks x; A runs; A waits 650; A sweeps; A lifetime 1200; A asks y; A runs | x granted; y expired |

  Scenario Outline: an append and the queue before it are limited
    Given owners of one claims partition over a simulated log
    When a claims owner receives <claims> claims, or outcomes of <bytes> bytes, at once
    Then the claims owner refuses <refused> commands and appends at most <batch> records at once

    Examples:
      | claims | bytes | refused | batch |
      | 200    | 0     | 0       | 257   |
      | 300    | 0     | 0       | 257   |
      | 2048   | 0     | 0       | 257   |
      | 2050   | 0     | 2       | 257   |
      | 200    | 16384 | 0       | 64    |

  Scenario: random interleavings of owners, faults and repeats
    No key is granted twice or granted after "not_run", every grant is in the
    log, a stored outcome is the reported one, and the verdicts of all owners
    agree with a naive read of the whole log.

    When claims owners run through 300 random interleavings of up to 120 actions
    Then the claims owners granted more than 300 attempts

  Scenario: without faults an owner and the naive version agree
    When a claims owner is compared with the naive version in 300 runs
