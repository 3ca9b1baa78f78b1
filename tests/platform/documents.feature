Feature: Records of the platform's store
  A torn record, or one of another writer, must name no worker and break
  nothing that is known of the others.

  Scenario Outline: a worker's entry with <fault> names no worker
    Given a platform worker entry with <fault>
    When platform decodes the worker entry
    Then platform finds a fault in it

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
      | torn bytes            |
      | a list                |

  Scenario Outline: a worker's entry with <detail> holds layers <layers> of version <version>
    Given a platform worker entry with <detail>
    When platform decodes the worker entry
    Then platform reads layers <layers> of version <version>

    Examples:
      | detail                                                   | layers | version |
      | layers = [{"source": 0, "to": 16, "version": 2}]         | 0-16   | 2       |
      | layers = {"source": 4, "to": 8, "version": 3}            | 4-8    | 3       |
      | layers = []                                              | none   | 0       |
      | models = []                                              | none   | 0       |

  Scenario: a record without content has no meaning and no fault
    When platform decodes a worker entry without content
    Then platform finds that the worker is gone

  Scenario Outline: a desired state with <fault> is ignored
    Given a platform desired state with <fault>
    When platform decodes the desired state
    Then platform finds a fault in it

    Examples:
      | fault                        |
      | version = "new"              |
      | routes = null                |
      | services = [{}]              |
      | torn bytes                   |

  Scenario Outline: settings with <fault> name the path <path>
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

  Scenario Outline: of <count> records of <kind> in one read <decoded> are decoded
    # In a series of changes, decoding each of them delays the last one.
    Given a platform page with <count> records of <kind>
    When platform decodes the page
    Then platform decoded <decoded> of them, the newest as the last

    Examples:
      | count | kind             | decoded |
      | 1     | a desired state  | 1       |
      | 9     | a desired state  | 1       |
      | 9     | a worker         | 1       |
      # The bound of each version counts from its own declaration.
      | 2     | a model version  | 2       |
