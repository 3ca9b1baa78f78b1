Feature: Agents beside engines
  Agents with real sockets, an origin and engines. Guards against a version that
  is served before it is whole and confirmed, against a second fetch after an
  agent's restart, and against services that a plain upstream does not need.

  Scenario Outline: weights agents bring their engines to the ordered version
    Given weights agents beside <engines> engines that serve "<serves>"
    And weights origin has the fault <fault>
    When weights agents are ordered <ordered> with <memory> bytes of memory
    Then weights engines end with "<served>" and whole digests
    And weights origin has sent <copies> copies of v2 and one chunk for each corrupt one
    And weights agents count <counted> under "<metric>"

    Examples:
      | engines | serves  | fault              | ordered | memory  | served | copies | counted | metric                          |
      | 3       | nothing | none               | v2      | 1000000 | v2     | 1      | 0       | refusals_total                  |
      | 1       | v2      | none               | v2      | 1000000 | v2     | 0      | 0       | refusals_total                  |
      | 1       | v1      | none               | v2      | 1000    | v1     | 0      | 1       | kind="version_too_large"        |
      | 1       | nothing | one corrupt chunk  | v2      | 1000000 | v2     | 1      | some    | kind="chunk_corrupt"            |
      | 1       | nothing | busy at first      | v2      | 1000000 | v2     | 1      | some    | reason="origin_busy"            |
      | 3       | nothing | none               | v1 v2   | 1000000 | v2     | 1      | 0       | refusals_total                  |

  Scenario Outline: weights services register only beside an engine
    Given weights settings of an agent with <url>
    When weights and engine components are set up
    Then weights services registered are "<services>"

    Examples:
      | url              | services       |
      | an engine_url    | engine weights |
      | no engine_url    |                |
