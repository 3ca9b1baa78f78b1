Feature: Processes of the product with stand-ins of the platform
  Guards against faults that appear only between processes. Entry hosts and
  agents run as real processes, with stand-ins of the store, the workers and
  the origin.

  Scenario Outline: <method> <path> while a worker <fault> gets the status <status>
    Given a platform fleet with 2 workers
    When platform's next requests reach a worker that <fault>
    And platform receives <method> <path> with key <key>
    Then platform responds with <status>
    And platform's workers ran it <runs> times

    Examples:
      | method | path      | key   | fault        | status | runs |
      | GET    | /read/1   | key-1 | responds     | 200    | 1    |
      | POST   | /order/1  | key-1 | responds     | 200    | 1    |
      | GET    | /read/1   | key-9 | responds     | 401    | 0    |
      | GET    | /none/1   | key-1 | responds     | 404    | 0    |
      | GET    | /read/1   | key-1 | reset        | 200    | 2    |
      | POST   | /order/1  | key-1 | reset        | 502    | 1    |
      | GET    | /read/1   | key-1 | full         | 200    | 1    |
      | POST   | /order/1  | key-1 | full         | 503    | 0    |
      | GET    | /read/1   | key-1 | unsealed     | 200    | 2    |
      | POST   | /order/1  | key-1 | unsealed     | 502    | 1    |
      | POST   | /order/1  | key-1 | crossed      | 502    | 1    |
      | POST   | /order/1  | key-1 | error        | 500    | 1    |
      | POST   | /stream/1 | key-1 | responds     | 200    | 1    |
      | POST   | /stream/1 | key-1 | broken_stream | 200   | 2    |

  Scenario Outline: a request with <fault> is refused with <status>
    Given a platform fleet with 1 workers
    When platform receives raw bytes with <fault>
    Then platform's raw response is <status>
    And platform's workers ran it 0 times

    Examples:
      | fault                 | status |
      | a head of 20000 bytes | 431    |
      | two lengths           | 400    |
      | a length and chunks   | 400    |
      | a body of 5000000 bytes | 413  |

  Scenario Outline: an entry host serves while the store has the fault <fault>
    Given a platform fleet with 2 workers
    When platform's store has the fault <fault>
    And platform receives GET /read/1 with key key-1
    Then platform responds with 200

    Examples:
      | fault  |
      | busy   |
      | silent |
      | forget |

  Scenario: a host that the store refuses receives a change from another one
    Given a platform fleet with 2 workers
    And platform has a second entry host
    When platform's store refuses the second entry host
    And platform's operator removes all routes
    Then platform's second entry host responds with 404 within 2 s

  Scenario: an empty worker loads the declared version despite corrupt pieces
    Given a platform fleet with 1 workers
    And platform's origin corrupts 3 pieces
    When platform adds an empty worker with its agent
    Then platform's new worker has loaded version 1 within 10 s
    And platform's new worker received one order

  Scenario Outline: an empty worker loads the declared version although the <part> is wrong in <count> manifests
    # No digest covers the manifest: a host that believes it for good never has
    # a complete version, and after a loss of all workers nothing is served.
    Given a platform fleet with 1 workers
    And platform's origin sends <count> manifests in which the <part> is wrong
    When platform adds an empty worker with its agent
    Then platform's new worker has loaded version 1 within 10 s
    And platform's new worker received one order

    Examples:
      | part              | count |
      | digest of piece 5 | 1     |
      | digest of piece 5 | 2     |
      | number of layers  | 1     |
      | number of pieces  | 1     |

  Scenario: a declared version reaches a worker that serves an older one
    Given a platform fleet with 1 workers
    When platform adds a worker of version 1 with its agent
    And platform's operator declares version 2
    Then platform's new worker has loaded version 2 within 10 s

  Scenario: an entry host that is stopped completes its requests and exits
    Given a platform fleet with 2 workers
    When platform's entry host is stopped during a stream
    Then platform's stream is complete
    And platform's entry host exits within 8 s without an error

  Scenario: a host whose record is dropped late is listed again
    # An earlier process of the host drops the record as it stops. The drop may
    # take effect once the next process has written the record, and agents and
    # entry hosts that start later would not find the host.
    Given a platform fleet with 1 workers
    When platform's store drops the record of the entry host
    Then platform's store lists the entry host again within 10 s

  Scenario: a request can be explained from the log of its entry host
    Given a platform fleet with 2 workers
    When platform receives GET /read/1 with key key-1
    Then platform's log names the worker, load and outcome of the request

  Scenario: a process of the platform starts no other process
    Given a platform fleet with 1 workers
    Then platform's entry host has no child process
