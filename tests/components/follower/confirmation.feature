Feature: Age of the last proof that a host has the newest desired state
  While reads fail or hang, a host goes on with the state that it has. Without
  this age, neither its log nor its metrics tell a state that is current from
  one that has been outdated for seconds.

  Scenario Outline: a read of <feed> from <source> that <outcome> is <proof>
    When follower's read of <feed>, from <source>, <outcome>
    Then follower takes it for <proof>

    Examples:
      | feed      | source       | outcome              | proof    |
      | operator  | the store    | returns a snapshot   | a proof  |
      | operator  | the store    | returns no change    | a proof  |
      | operator  | another host | returns no change    | a proof  |
      # It may be the cache of a host that can't read the store either.
      | operator  | another host | returns a snapshot   | no proof |
      | operator  | the store    | fails                | no proof |
      | upstreams | the store    | returns no change    | no proof |

  Scenario Outline: a host whose age is <own> s <passed> a hello with version <version> and age <age> s
    Given follower's host has version 7, which was confirmed <own> s ago
    When follower's host receives a hello with version <version> confirmed <age> s ago
    Then follower's host <passed> the confirmation

    Examples:
      | version | age | own | passed           |
      | 7       | 1.0 | 3.0 | passes on        |
      | 7       | 1.0 | -1  | passes on        |
      | 7       | 3.0 | 1.0 | does not pass on |
      | 7       | 1.0 | 1.1 | does not pass on |
      | 7       | -1  | 3.0 | does not pass on |
      | 6       | 1.0 | 3.0 | does not pass on |
      | 8       | 1.0 | 3.0 | does not pass on |

  Scenario: hosts that hear each other's hellos late do not make an age younger
    # Each hop adds its delay. Two hosts that passed on what they heard from
    # each other would take a state from before an outage for the newest.
    Given follower's host has version 7, which was confirmed 5 s ago
    When follower's host exchanges 6 hellos with another one, each 0.3 s late
    Then follower's host states an age of 6.8 s or more

  Scenario Outline: after <unconfirmed> s without a confirmation the log has <lines>
    When follower has no confirmation for <unconfirmed> s and then one
    Then follower logs the events <lines>

    Examples:
      | unconfirmed | lines                                             |
      | 1           | nothing                                           |
      | 9           | desired_state_unconfirmed desired_state_confirmed |
