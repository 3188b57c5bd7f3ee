Feature: Invalid input is refused with a numbered error and changes nothing

  Scenario Outline: An invalid contract is refused with the path of the field
    Given a daemon
    When the contract "../bad_contracts/<file>" is applied with request id "bad"
    Then the command is refused with code 1001 naming "<field>"
    And the control state has revision 0

    Examples:
      | file                 | field                                    |
      | unknown_field.yaml   | change.contract.services[0].priority     |
      | missing_service.yaml | change.contract.services                 |
      | bad_numbers.yaml     | change.contract.services[0].concurrency  |
      | bad_numbers.yaml     | change.contract.availability             |
      | twice.yaml           | change.contract.services: names the same |

  Scenario: A contract that is not valid YAML is refused by the command line
    Given a daemon
    When the contract "../bad_contracts/not_yaml.yaml" is applied with request id "bad"
    Then the command exits with 2 naming "1002"

  Scenario Outline: Invalid settings are refused with the path of each option
    When the settings "<file>" are read
    Then the settings are refused with code 1001 naming "<path>"

    Examples:
      | file              | path                              |
      | unknown_key.yaml  | listen.callers.prot: unknown      |
      | unknown_key.yaml  | listen.callers.port: is required  |
      | bad_types.yaml    | json_logs: must be true or false  |
      | bad_types.yaml    | zone: must be a name              |
      | bad_types.yaml    | listen: must be a mapping         |
      | bad_types.yaml    | operators_token: must have at     |

  Scenario: The check option of the daemon checks its settings and exits
    Given a daemon
    When the settings of the daemon are checked
    Then the check exits with 0
    When the settings "unknown_key.yaml" are checked by the daemon program
    Then the check exits with 2

  Scenario Outline: An invalid HTTP request is refused and the daemon keeps running
    Given a daemon
    When "<method> <path>" is sent to the <peer> with "<body>"
    Then the HTTP response has status <status> and code <code>
    And the control state has revision 0

    Examples:
      | peer      | method | path              | body                       | status | code |
      | upstreams | POST   | /v1/announcements | {                          | 400    | 1002 |
      | upstreams | POST   | /v1/announcements | []                         | 400    | 1002 |
      | upstreams | POST   | /v1/announcements | {'upstream': 'a'}          | 400    | 1001 |
      | upstreams | POST   | /v1/announcements | LARGE                      | 413    | 1003 |
      | upstreams | POST   | /v1/departures    | {'upstream': 7}            | 400    | 1001 |
      | operators | POST   | /v1/changes       | {'request_id': 'A B'}      | 400    | 1001 |
      | operators | POST   | /v1/changes       | LARGE                      | 413    | 1003 |
      | callers   | POST   | /                 | {}                         | 400    | 1001 |
      | callers   | POST   | /fees/post        | LARGE                      | 413    | 1003 |

  Scenario: A request without the operators' bearer token is refused
    Given a daemon
    When "GET /v1/contracts" is sent to the operators without a token
    Then the HTTP response has status 401 and code 4004

  Scenario: Malformed HTTP does not stop the daemon
    Given a daemon
    When the bytes "GET / HTTP/9.9\r\n\r\n" are sent to the callers
    And the bytes "\x00\xff\x13 nonsense\r\n\r\n" are sent to the upstreams
    Then the control state has revision 0
