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
