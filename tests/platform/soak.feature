Feature: Seeded runs of a fleet with pauses, late calls and overlapping stops
  Guards against responses that an entry host ends while their worker goes on
  (LOST), and against layers that are loaded from pieces of another version
  after an order or a copy took effect late (WHOLE). Real processes, with kept
  connections of callers.

  Scenario Outline: <profile> from seed <seed> for <duration> s
    When a soak run with the profile <profile> and seed <seed> takes <duration> s
    Then the soak run's verdict is ok

    Examples: soak run of pauses and stops
      | profile | seed | duration |
      | pauses  | 1    | 18       |

    Examples: soak run of late orders and versions
      | profile | seed | duration |
      | late    | 1    | 22       |

    Examples: soak run of all events
      | profile | seed | duration |
      | all     | 1    | 18       |
