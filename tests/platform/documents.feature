Feature: Records of the platform's store
  Guards against a record that is truncated or written by another program: it
  must not be taken for a worker or a desired state, nor end the decoding of
  the other records.

  Scenario Outline: a worker's record with <fault> is a decode error
    Given a platform worker record with <fault>
    When platform decodes the worker record
    Then platform reports a decode error

    Examples:
      | fault                 |
      | state = "gone"        |
      | state = null          |
      | address = 7           |
      | address = "10.0.0.1"  |
      | address = "10.0.0.1:99999" |
      | service = null        |
      | slots = "many"        |
      | zone = 3              |
      | models = 7            |
      | models = [{}]         |
      | layers = [{"source": 0}] |
      | born = "yesterday"    |
      | truncated bytes       |
      | a list                |
      | extra = lists nested 5000 deep |
      | extra = objects nested 5000 deep |
      | models = lists nested 5000 deep |
      | address = "10.0.0.1:0" |
      | address = "10.0.0.1:65536" |
      | address = "10.0.0.1:-80" |
      | address = "10.0.0.1: 80" |
      | address = "10.0.0.1:8_0" |
      | address = "10.0.0.1:\u0668\u0660" |
      | address = a port of 400 digits |
      | address = a port of 5000 digits |
      | address = ":80"       |
      | address = "10.0.0:80" |
      | address = "worker.example:80" |
      | address = a megabyte  |
      | service = a megabyte  |
      | service = "\ud800"    |
      | zone = a megabyte     |
      | slots = -8            |
      | slots = 0             |
      | slots = 1.5           |
      | slots = true          |
      | slots = 100001        |
      | slots = a number of 400 digits |
      | slots = a number of 5000 digits |
      | slots = 1e400         |
      | born = -1             |
      | born = a number of 400 digits |
      | born = 1e400          |
      | layers = [{"source": 0, "to": 4, "version": 9223372036854775808}] |

  Scenario Outline: a page with a worker's record with <fault> gives the other records
    Given a platform page with workers and a record with <fault>
    When platform decodes the page
    Then platform decoded each of the other workers
    And platform's decode error is at most 200 characters long

    Examples:
      | fault                          |
      | extra = lists nested 5000 deep |
      | slots = a number of 5000 digits |
      | address = "10.0.0.1:65536"     |
      | service = a megabyte           |

  Scenario Outline: the store service goes on after a page that <fault>
    # The greenlet of a feed ended with an error, and the list was never read
    # again.
    Given a platform store whose first page <fault>
    When platform reads the list of workers twice
    Then platform's first read fails, and the second returns the workers

    Examples:
      | fault                    |
      | is truncated             |
      | is nested 5000 deep      |
      | is a list                |
      | has no end offset        |
      | has a value that is not base64 |
      | has items that are numbers |

  Scenario Outline: a worker's record with <detail> reports layers <layers> of version <version>
    Given a platform worker record with <detail>
    When platform decodes the worker record
    Then platform decodes layers <layers> of version <version>

    Examples:
      | detail                                                   | layers | version |
      | layers = [{"source": 0, "to": 16, "version": 2}]         | 0-16   | 2       |
      | layers = {"source": 4, "to": 8, "version": 3}            | 4-8    | 3       |
      | layers = []                                              | none   | 0       |
      | models = []                                              | none   | 0       |

  Scenario: a record without content removes the worker
    When platform decodes a worker record without content
    Then platform decodes no worker and no error

  Scenario Outline: a desired state with <fault> is a decode error
    Given a platform desired state with <fault>
    When platform decodes the desired state
    Then platform reports a decode error

    Examples:
      | fault                        |
      | version = "new"              |
      | routes = null                |
      | services = [{}]              |
      | truncated bytes              |
      | extra = lists nested 5000 deep |
      | version = 1e400              |
      | version = -1                 |
      | routes = [{"name": "r"}]     |

  Scenario Outline: settings with <fault> are refused at the path <path>
    Given platform settings with <fault>
    When platform reads the settings file
    Then platform names the file and the path <path>

    Examples:
      | fault                     | path           |
      | ip = null                 | ip             |
      | machine_class = "rack"    | machine_class  |
      | platform = {}             | platform.address |
      | bounds = {}               | bounds.config_apply_ms |
      | internal_ports = []       | internal_ports |
      | listen = {"frontend": 1}  | listen.frontend |
      | limits = {"link_mbps": "fast"} | limits.link_mbps |
      | limits = {"link_mbps": -1} | limits.link_mbps |
      | limits = 7                | limits         |

  Scenario Outline: settings with <limits> name a link of <rate> bytes/s
    Given platform settings with limits = <limits>
    When platform reads the settings file
    Then platform settings name a link of <rate> bytes/s

    Examples:
      | limits              | rate      |
      | {"link_mbps": 3.8}  | 475000    |
      | {"link_mbps": 1000} | 125000000 |
      | {}                  | 0         |

  Scenario: settings with unknown fields are read
    Given platform settings with surprise = {"a": 1}
    When platform reads the settings file
    Then platform settings are those of edge-1

  Scenario Outline: of <count> records of <kind> in one page <decoded> are decoded
    # Decoding every record of a series of changes would delay the last.
    Given a platform page with <count> records of <kind>
    When platform decodes the page
    Then platform decoded <decoded> of them, the newest as the last

    Examples:
      | count | kind             | decoded |
      | 1     | a desired state  | 1       |
      | 9     | a desired state  | 1       |
      | 9     | a worker         | 1       |
      # The version limit counts from the declaration of each version.
      | 2     | a model version  | 2       |
