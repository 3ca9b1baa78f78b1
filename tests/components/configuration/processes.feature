Feature: Configuration in running processes
  Real processes against the log and host list stand-ins.

  Scenario: configuration stays in force through outage, expiry and restart
    # Guards against a configuration that is lost or reverts when the log is
    # away or its records have expired.
    Given configuration world with a log that keeps records for 8 s
    And configuration world with entry host "entry-1" and agent "agent-1"
    When configuration "first" is appended based on -1
    Then configuration at offset 0 is in force on "entry-1,agent-1"
    When configuration world waits until the first record has expired
    And configuration world starts entry host "entry-2"
    Then configuration at offset 0 is in force on "entry-1,entry-2,agent-1"
    When configuration log has an outage
    And configuration world starts entry host "entry-3"
    Then configuration at offset 0 is in force on "entry-3,agent-1"
    When configuration log has no outage
    And configuration "second" is appended based on 0
    Then configuration of the last append is in force on "entry-1,entry-2,entry-3,agent-1"
    When configuration world pauses "entry-1" and "second" loses to "third"
    Then configuration of the last append is in force on "entry-1,entry-2,entry-3,agent-1"

  Scenario: configuration of an agent without entry hosts
    # Guards against an agent that waits for entry hosts that are all dead.
    Given configuration world with a log that keeps records for 60 s
    When configuration "first" is appended based on -1
    And configuration world starts agent "agent-1"
    Then configuration at offset 0 is in force on "agent-1"
    And configuration world reports no health problem of configuration on "agent-1"

  Scenario: configuration is required for readiness
    # Guards against traffic to an entry host that knows no rules yet.
    Given configuration world with a log that keeps records for 60 s
    When configuration world starts entry host "entry-1"
    Then configuration world reports "configuration: no configuration is known" on "entry-1"
