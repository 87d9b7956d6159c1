@shared_fleet
Feature: What operators see and do

  Background:
    Given a fleet of 3 daemons and 2 engines
      | organisation | tokens  | policy    |
      | atlas        | 1000000 | available |
      | skupna       | 1000000 | strict    |
      | small        | 10      | strict    |

  Scenario: Spend and what became of a request
    When atlas sends request "s-1" of 8 tokens to daemon 1
    And small sends request "s-2" of 300 tokens to daemon 1
    Then the spend of atlas is the sum of its bills
    When an operator runs "explain s-1" through daemon 1
    Then the command ends with code 0
    And the command says "ran"
    When an operator runs "explain s-2" through daemon 1
    Then the command says "not_run"
    And the command says "budget_exhausted"
    When an operator runs "explain unknown" through daemon 1
    Then the command ends with code 1

  Scenario: A payment in an outage is made afterwards, and counts once
    When the table is down
    And an operator runs "budget top-up small 5000 --id invoice-7" through daemon 1
    Then the command ends with code 4
    When the table is back
    And an operator runs "budget top-up small 5000 --id invoice-7" through daemon 2
    Then the command ends with code 0
    When an operator runs "budget top-up small 5000 --id invoice-7" through daemon 3
    Then the command ends with code 0
    And budget small has a limit of 5010 tokens
    When small sends request "paid" of 8 tokens to daemon 1 again for as long as it is told to
    Then "paid" is answered whole

  Scenario: Callers and operators have doors of their own
    Then the operators' port of daemon 1 refuses atlas's key
    And the callers' port of daemon 1 refuses the operators' token

  Scenario: Every fault of a settings file is named at once
    When the settings are checked
      """
      [instance]
      name = entry-0
      zone = zone-a
      region = region-1
      [listen]
      caller_port = many
      operator_port = 70000
      peer_port = 7003
      colour = red
      [platform]
      url = http://127.0.0.1:7000
      [budgets]
      shards = 0
      """
    Then the command ends with code 2
    And the command says "caller_port"
    And the command says "operator_port"
    And the command says "colour"
    And the command says "shards"

  Scenario: The grant of a daemon that was killed is released
    # Daemon 2 is the home of this budget.
    When atlas sends 2 requests of 8 tokens to every daemon
    And daemon 2 is killed
    And an operator releases the grants of daemon 2 in atlas
    Then the command ends with code 1
    And the command says "not listed as terminated"
    When daemon 2 is listed as terminated
    Then atlas has an unattributed charge of daemon 2
    When 3 seconds pass
    And an operator releases the grants of daemon 2 in atlas
    Then the command ends with code 0
    And atlas has no grant of daemon 2
    And every rule holds

  Scenario: A daemon is not ready before its graceful shutdown ends
    When skupna starts a stream "e" of 300 tokens through daemon 3
    And daemon 3 is asked to stop
    Then daemon 3 says that it is not ready while it still runs
    And "e" is answered whole
    And daemon 3 has ended cleanly
    And request "e" is billed once
