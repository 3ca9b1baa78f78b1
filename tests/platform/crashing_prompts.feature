Feature: Prompts that crash workers
  A part of a prompt may crash each worker that begins to write an answer on it.
  Requests with that part come at any entry host, beside sound ones that share
  their other parts. Sent on, they take down one worker after the other.

  Scenario Outline: of <count> requests with a part that crashes workers, no more than 3 are sent on once <hosts> entry hosts have had 3 s
    Given a platform fleet with 4 workers, their agents and <hosts> entry hosts
    When platform receives <count> requests with a part that crashes workers, one every <gap> s beside sound ones
    Then no more than 3 of them reach platform's workers later than 3 s after the fifth crash
    And platform responds to at least <sound> in 100 sound requests after that with 200

    Examples:
      | count | gap | hosts | sound |
      | 30    | 0.3 | 1     | 90    |
      | 30    | 0.3 | 2     | 90    |
