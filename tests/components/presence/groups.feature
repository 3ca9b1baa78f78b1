Feature: Groups in which workers switch
  Requests need workers while others switch, so those of a data centre take a
  new version in groups, the later ones after the earlier.

  Scenario Outline: worker <worker> of <count> is in group <group> behind <earlier>
    When presence groups <count> workers
    Then presence puts worker <worker> in group <group> behind <earlier>

    Examples:
      | count | worker | group | earlier |
      | 1     | 0      | 0     | 0       |
      | 2     | 0      | 0     | 0       |
      | 2     | 1      | 1     | 1       |
      | 3     | 1      | 1     | 1       |
      | 3     | 2      | 2     | 2       |
      | 6     | 5      | 2     | 4       |
      | 4     | 3      | 1     | 2       |

  Scenario Outline: earlier workers that are <state> hold back <held>
    When presence counts 2 earlier workers that are <state>
    Then presence holds a worker back for <held>

    Examples:
      | state       | held |
      | older       | 2    |
      | empty       | 0    |
      | loading     | 0    |
      | switched    | 0    |
      | unreachable | 0    |

  Scenario Outline: a report with the count <count> after 100 is <fate>
    When presence receives a report with the count <count> after 100
    Then presence takes it as <fate>

    Examples:
      | count | fate  |
      | 101   | newer |
      | 99    | older |
      | 1     | newer |

  Scenario Outline: a datagram that is <kind> is <fate>
    When presence decodes a datagram that is <kind>
    Then presence finds it <fate>

    Examples:
      | kind     | fate |
      | a report | read |
      | a greeting | read |
      | torn     | nothing |
      | noise    | nothing |
      | empty    | nothing |

  Scenario Outline: a service whose routes are <routes> is <cut> off for a switch
    When presence looks at routes that are <routes>
    Then presence lets its requests be <cut>

    Examples:
      | routes                    | cut  |
      | resumable                 | cut  |
      | idempotent                | cut  |
      | resumable, non_idempotent | kept |
      | stream                    | kept |
      | once                      | kept |

  Scenario Outline: a version known for 1 s is told as known for <told> s after a suspension of <suspended> s
    # The receiver would let requests begin on the older version for too long.
    When presence tells a version known for 1 s after a suspension of <suspended> s
    Then presence tells that it is known for <told> s

    Examples:
      | suspended | told |
      | 0         | 1    |
      | 4         | 5    |

  Scenario Outline: of <near> hosts near and <far> elsewhere, <sent> are sent a report, all within <reports>
    # Work that every agent does for every host grows with their product.
    When presence sends reports to <near> hosts near and <far> elsewhere
    Then presence sent each report to <sent> hosts at most
    And presence reached every host within <reports> reports

    Examples:
      | near | far | sent | reports |
      | 1    | 0   | 1    | 1       |
      | 3    | 4   | 4    | 4       |
      | 13   | 25  | 10   | 7       |
