Feature: Callers' requests
  Requests that are malformed or too large must be refused before they reach an
  upstream.

  Scenario Outline: a request with <fault> is refused as <kind>
    Given frontend with upstreams "near" of "fees"
    When frontend receives a request with <fault>
    Then frontend responds <kind>, executed <executed>, repeat <repeat>
    And frontend upstream "near" received nothing
    And frontend holds nothing of the request

    Examples:
      | fault              | kind              | executed | repeat |
      | a long body        | request_too_large | no       | no     |
      | a long chunk       | request_too_large | no       | no     |
      | priority 10        | bad_request       | no       | no     |
      | priority high      | bad_request       | no       | no     |
      | a space in its id  | bad_request       | no       | no     |
      | a long id          | bad_request       | no       | no     |
      | dots in its path   | bad_request       | no       | no     |
      | coded dots         | bad_request       | no       | no     |
      | an unknown service | unknown_service   | no       | no     |
      | an unknown path    | unknown_service   | no       | no     |

  Scenario: before any configuration requests are refused
    Given frontend without configuration
    When frontend receives GET /services/fees/a
    Then frontend responds not_ready, executed no, repeat yes

  Scenario: each attempt sends a request id of its own to the upstream
    Given frontend with upstreams "near" of "fees"
    When frontend receives a request with all kinds of headers
    Then frontend passed the headers on as they should be

  Scenario: a caller that sends its body slowly does not hold up other callers
    Given frontend with upstreams "near" of "fees"
    When frontend's caller sends half of its body
    And frontend receives POST /services/fees/letters/1
    Then frontend passed on the correct response

  Scenario Outline: the service's rule with the longest prefix applies
    Given frontend with upstreams "near" of "fees"
    When frontend receives <method> /services/fees/<path>
    Then frontend responds <kind>, executed <executed>, repeat <repeat>

    Examples:
      | method | path           | kind         | executed | repeat  |
      | POST   | letters/1      | ok           | -        | -       |
      | POST   | letters/paid/1 | key_required | no       | new_key |
      | POST   | other          | key_required | no       | new_key |
      | PUT    | letters/1      | key_required | no       | new_key |
      | DELETE | letters/1      | key_required | no       | new_key |
      | GET    | fees/1         | ok           | -        | -       |
      | HEAD   | fees/1         | ok           | -        | -       |
      | HEAD   | none/204       | ok           | -        | -       |
