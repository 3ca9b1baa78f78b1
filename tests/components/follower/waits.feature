Feature: Waits that follow one another before a host is up to date again
  Each wait may look short. A host that waits for a change, then for a response
  that does not come and then for another source has an old desired state for
  the sum, which has to stay within the limits of the deployment.

  Scenario Outline: with contact_ms <contact> and drain_ms <drain> a read waits <poll> s for a change, and every chain ends in time
    Given follower runs with contact_ms <contact> and drain_ms <drain>
    Then follower's read of the desired state waits <poll> s for a change
    And follower's wait chains end within their limits

    Examples:
      | contact | drain | poll |
      | 3000    | 2000  | 1.7  |
      | 5000    | 2000  | 3.7  |
      | 30000   | 10000 | 4.0  |

  Scenario Outline: with contact_ms <contact> and drain_ms <drain> the log names the chains that take too long
    # No wait can be made short enough; the operators have to know.
    Given follower runs with contact_ms <contact> and drain_ms <drain>
    Then follower logs <count> wait chains that exceed their limit

    Examples:
      | contact | drain | count |
      | 3000    | 2000  | 0     |
      | 1000    | 2000  | 1     |
      | 1000    | 1000  | 2     |
