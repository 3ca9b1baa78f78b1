Feature: Evidence against parts of prompts
  A crash takes all requests on a worker with it. Blaming all their parts would
  hold back sound requests; blaming none lets workers crash one after the other.

  Scenario Outline: after <crashes> crashes <apart> s apart with <served> served after the <after>th, a part is <verdict>
    # Without other prompts that are served, the workers have failed for
    # another reason. Workers that fail together have one as well.
    Given quarantine knows that 3 other prompts are served at the end
    When quarantine records <crashes> crashes of a part, <apart> s apart, and it is served <served> times after number <after>
    Then quarantine holds the part to be <verdict>

    Examples:
      | crashes | apart | served | after | verdict     |
      | 2       | 1.0   | 0      | 0     | sound       |
      | 3       | 1.0   | 0      | 0     | quarantined |
      | 3       | 0.05  | 0      | 0     | sound       |
      | 3       | 1.0   | 1      | 1     | sound       |
      | 5       | 1.0   | 1      | 2     | quarantined |
      | 9       | 1.0   | 1      | 9     | sound       |

  Scenario Outline: with <controls> other prompts served, a part of 5 crashes is <verdict>
    When quarantine records 5 crashes of a part and <controls> other prompts that are served
    Then quarantine holds the part to be <verdict>

    Examples:
      | controls | verdict     |
      | 0        | sound       |
      | 2        | sound       |
      | 3        | quarantined |

  Scenario Outline: of a deadly part and one that <other>, the other is <verdict>
    # Both are in the same crashes.
    When quarantine records 3 crashes of a deadly part beside one that <other>
    Then quarantine holds the deadly part to be <deadly>
    And quarantine holds the other part to be <verdict>

    Examples:
      | other                        | deadly      | verdict     |
      | was served before            | quarantined | sound       |
      | is in one of the crashes     | quarantined | sound       |
      | nobody has served            | sound       | sound       |
      | nobody has served, 4 crashes | quarantined | quarantined |

  Scenario Outline: a host that is told of <told> crashes and that a part is quarantined holds it to be <verdict>
    # The word of one host alone must not block a part everywhere.
    When quarantine is told of <told> crashes by a host that holds the part to be quarantined
    Then quarantine holds the part to be <verdict>

    Examples:
      | told | verdict     |
      | 0    | sound       |
      | 2    | sound       |
      | 3    | quarantined |

  Scenario Outline: <age> s after its last crash, a part of <crashes> crashes is <verdict>
    When quarantine records <crashes> crashes of a part and <age> s pass
    Then quarantine holds the part to be <verdict>

    Examples:
      | crashes | age | verdict     |
      | 3       | 590 | quarantined |
      | 3       | 610 | sound       |

  Scenario Outline: a retry after <crashes> crashes and <breaks> breaks of a part that <history> is <verdict>
    When quarantine has <crashes> crashes and <breaks> breaks of a part that <history>
    Then quarantine holds a retry to be <verdict>

    Examples:
      | crashes | breaks | history          | verdict   |
      | 0       | 1      | was never served | allowed   |
      | 1       | 1      | was never served | held back |
      | 2       | 0      | was never served | held back |
      | 1       | 1      | was served       | allowed   |

  Scenario Outline: evidence of <parts> parts fits in a datagram of 1400 bytes
    When quarantine records 3 crashes of each of <parts> parts
    Then quarantine sends it in at most 1400 bytes

    Examples:
      | parts |
      | 1     |
      | 300   |
