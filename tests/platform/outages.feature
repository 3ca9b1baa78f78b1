Feature: Entry hosts after the platform's store was silent
  Guards against a desired state, or a list of workers, that stays outdated
  after the store has responded again, because calls that began in the silence
  outlive it (CONFIG, DRAIN). Real processes, with stand-ins of the platform.

  Scenario Outline: <silent> s after which the store responds again to <calls>, a change is in force within contact_ms
    Given a platform fleet with 3 entry hosts
    When platform's store is silent for <silent> s to <calls>
    And platform's operator removes all routes
    Then platform's entry hosts respond with 404 within contact_ms

    Examples: store that is silent for a time
      | silent | calls                          |
      | 0.5    | all calls                      |
      | 2.0    | all calls                      |
      | 6.2    | all calls                      |
      | 9.0    | all calls                      |
      | 6.2    | calls for the desired state    |
      | 6.2    | calls of two hosts             |

    Examples: store whose responses trickle
      | silent | calls                          |
      | 4.0    | all calls, byte by byte        |

    Examples: connections to the store that are silent for good
      | silent | calls                          |
      | 0.1    | connections that are open then |

  Scenario: a data centre whose readers can't read the store gets a change from the third host's reads
    # Hellos of other data centres, which would name the newer version, are
    # lost. The hosts that do not read the store rely on the two that do.
    Given a platform fleet with 3 entry hosts
    When platform's store is silent to calls of the readers for good
    And 2.5 s later platform's operator removes all routes
    Then platform's entry hosts respond with 404 within config_apply_ms

  Scenario Outline: a worker that drains <after> s after <calls> became silent gets no requests drain_ms later
    Given a platform fleet with 3 entry hosts
    When platform's store is silent for <silent> s to <calls>
    And platform's first worker drains <after> s later
    Then platform's first worker gets no request from drain_ms later on

    Examples: list of workers behind silent connections
      | silent | after | calls                          |
      | 0.1    | 3.0   | connections that are open then |
      | 6.2    | 3.0   | all calls                      |
