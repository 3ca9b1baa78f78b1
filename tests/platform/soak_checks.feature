Feature: Checks of a soak run
  Guards against checks that excuse a lost response or count one that a rule
  allows. Times are seconds after the request was sent; the grace time is 8 s
  and the deadline 6 s.

  Scenario Outline: <kind> that ends as <end> at <ended> s, <runs>, SIGTERM at <stop> s
    Given a soak run's <kind> request that ends as <end> with <status> after <ended> s
    When the soak run's workers report <runs>
    And the soak run's entry host is sent SIGTERM at <stop> s
    Then the soak run's checks report <faults>

    Examples:
      | kind   | end      | status | ended | runs                   | stop | faults      |
      | stream | cut      | 200    | 1.5   | cancelled 0.1-1.5      | none | lost        |
      | read   | cut      | 0      | 1.5   | cancelled 0.1-1.5      | none | lost        |
      | read   | cut      | 0      | 1.5   | nothing                | none | none        |
      | stream | cut      | 200    | 5.5   | cancelled 0.1-5.5      | none | lost        |
      | stream | cut      | 200    | 5.95  | cancelled 0.1-5.95     | none | none        |
      | stream | cut      | 200    | 1.5   | broke_off 0.1-1.5      | none | none        |
      | stream | left     | 200    | 1.5   | cancelled 0.1-1.5      | none | none        |
      | stream | late     | 200    | 6.5   | deadline 0.1-6         | none | none        |
      | stream | cut      | 200    | 1.5   | cancelled 0.1-1.5      | 1    | lost        |
      | stream | cut      | 200    | 4.9   | cancelled 0.1-4.9      | -2   | none        |
      | stream | cut      | 200    | 4.5   | cancelled 0.1-4.5      | -2   | lost        |
      | stream | cut      | 200    | 3.9   | cancelled 0.1-3.9      | -3.1 | lost        |
      | stream | cut      | 200    | 4.9   | complete 0.1-1         | -2   | lost        |
      | stream | complete | 200    | 1     | complete 0.1-1         | none | none        |
      | talk   | complete | 200    | 1     | complete 0-1, complete 0-1 | none | twice   |
      | stream | complete | 200    | 1     | cancelled 0-1, complete 0-1 | none | none   |
      | order  | complete | 503    | 1     | cancelled 0.1-1        | none | refused_run |
      | read   | complete | 503    | 1     | cancelled 0.1-1        | none | none        |
      | order  | complete | 502    | 1     | cancelled 0.1-1        | none | none        |

  Scenario Outline: a response to <kind> with <change> is <fault>
    Given a soak run's <kind> request that ends as complete with 200 after 1 s
    When the soak run's response has <change>
    And the soak run's workers report complete 0.1-1
    And the soak run's entry host is sent SIGTERM at none s
    Then the soak run's checks report <fault>

    Examples:
      | kind   | change            | fault |
      | stream | no last event     | order |
      | stream | an event twice    | order |
      | stream | a comment         | none  |
      | stream | no seal           | mixed |
      | read   | another's seal    | mixed |
      | read   | another's id      | mixed |
      | read   | no last byte      | mixed |
