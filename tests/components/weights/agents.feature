Feature: Agents beside engines
  Agents with real sockets run beside stand-ins of an origin and of engines.
  Guards against
  - a version that is served before it is complete and confirmed,
  - a second fetch of a version that the engine already serves when its agent
    starts, as after a restart of the agent,
  - weights services on a host without an engine, which does not need them.

  Scenario Outline: weights agents bring their engines to the target version
    Given weights agents beside <engines> engines that serve "<serves>"
    And weights origin has the fault <fault>
    When weights agents receive the targets <targets> with <memory> bytes of memory
    Then weights engines end with "<served>" and its digest
    And weights origin has sent <copies> copies of v2 and one more chunk for each corrupt one
    And weights agents count <count> under "<metric>"

    Examples:
      | engines | serves  | fault              | targets | memory  | served | copies | count   | metric                          |
      | 3       | nothing | none               | v2      | 1000000 | v2     | 1      | 0       | refusals_total                  |
      | 1       | v2      | none               | v2      | 1000000 | v2     | 0      | 0       | refusals_total                  |
      | 1       | v1      | none               | v2      | 1000    | v1     | 0      | 1       | kind="version_too_large"        |
      | 1       | nothing | one corrupt chunk  | v2      | 1000000 | v2     | 1      | some    | kind="chunk_corrupt"            |
      | 1       | nothing | busy at first      | v2      | 1000000 | v2     | 1      | some    | reason="origin_busy"            |
      | 3       | nothing | none               | v1 v2   | 1000000 | v2     | 1      | 0       | refusals_total                  |

  Scenario Outline: weights services are registered only on a host with an engine
    Given weights settings of an agent with <url>
    When weights and engine components are set up
    Then weights services registered are "<services>"

    Examples:
      | url              | services       |
      | an engine_url    | engine weights |
      | no engine_url    |                |
