Feature: Requests beside workers that send bytes without end
  A faulty worker may send bytes that are no response, without end, in a head or
  in a body. An entry host that kept them all would exceed its memory, and one
  that spent its processor time on them would delay all other requests.

  Scenario Outline: small requests beside 120 requests to workers that send endless <part>
    Given a platform fleet with 6 workers that send endless <part>
    When platform receives 120 requests for them at once, and small ones to others
    Then platform's small requests are each served within 1 s
    And platform's entry host used at most 300 MB of memory

    Examples:
      | part          |
      | header        |
      | headers       |
      | short headers |
      | garbage       |
      | body          |
      | unframed body |
      | chunks        |
      | trailers      |
      | event         |
