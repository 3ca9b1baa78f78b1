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
      | 3000    | 2000  | 1.5  |
      | 5000    | 2000  | 3.5  |
      | 30000   | 10000 | 4.0  |

  Scenario Outline: with contact_ms <contact> and drain_ms <drain> the log names the chains that take too long
    # No wait can be made short enough; the operators have to know.
    Given follower runs with contact_ms <contact> and drain_ms <drain>
    Then follower logs <count> wait chains that exceed their limit

    Examples:
      | contact | drain | count |
      | 3000    | 2000  | 0     |
      | 2000    | 2000  | 1     |
      | 1000    | 1000  | 4     |

  Scenario Outline: with <near> near and <far> far peers, turn <turn> reads through <kinds>
    # A data centre may be cut off from the store or from the others. A host
    # that draws from all peers may ask none that can read the store for long.
    Given follower knows <near> near and <far> far peers
    Then follower's turn <turn> reads through <kinds>

    Examples:
      | near | far | turn | kinds        |
      | 2    | 9   | 0    | near far     |
      | 2    | 9   | 1    | far near     |
      | 2    | 0   | 1    | near near    |
      | 0    | 2   | 0    | far far      |
      | 0    | 0   | 0    | none         |
