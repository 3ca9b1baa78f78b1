Feature: Configuration in running processes
  Real processes with stand-ins of the log and the host list.

  Scenario: configuration stays in force through outage, expiry and restart
    # Guards against a configuration that is lost or reverts while the log is
    # unavailable or after its records have expired.
    Given control plane with a log that retains records for 8 s
    And control plane with entry host "entry-1" and agent "agent-1"
    When configuration "first" is appended based on -1
    Then configuration at offset 0 is in force on "entry-1,agent-1"
    When control plane waits until the first record has expired
    And control plane starts entry host "entry-2"
    Then configuration at offset 0 is in force on "entry-1,entry-2,agent-1"
    When configuration log has an outage
    And control plane starts entry host "entry-3"
    Then configuration at offset 0 is in force on "entry-3,agent-1"
    When configuration log has no outage
    And configuration "second" is appended based on 0
    Then configuration of the last append is in force on "entry-1,entry-2,entry-3,agent-1"
    When control plane pauses "entry-1" and "second" loses to "third"
    Then configuration of the last append is in force on "entry-1,entry-2,entry-3,agent-1"

  Scenario: configuration of an agent without entry hosts
    # Guards against an agent without a configuration because it waits for
    # entry hosts of which none is running.
    Given control plane with a log that retains records for 60 s
    When configuration "first" is appended based on -1
    And control plane starts agent "agent-1"
    Then configuration at offset 0 is in force on "agent-1"
    And control plane reports no health problem of configuration on "agent-1"

  Scenario: configuration is required for readiness
    # Guards against requests to an entry host that has no routing rules yet.
    Given control plane with a log that retains records for 60 s
    When control plane starts entry host "entry-1"
    Then control plane reports "configuration: no configuration is known" on "entry-1"
