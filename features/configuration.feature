@shared_fleet
Feature: Configuration changed with the command-line tool

  Background:
    Given a fleet of 3 daemons and 2 engines
      | organisation | tokens  | policy    |
      | atlas        | 1000000 | available |
      | skupna       | 1000000 | available |
      | drava        | 1000000 | available |

  Scenario: A revoked key is refused by every daemon
    When an operator runs "organisation change drava --revoke-key key-drava" through daemon 1
    Then the command ends with code 0
    And every daemon answers drava with status 401 within 5 seconds

  Scenario: Every daemon serves a new organisation
    When an operator runs "budget create sava --limit 1000" through daemon 2
    And an operator runs "organisation create sava --budget sava --models plan-review --classes short --key key-sava" through daemon 1
    Then the command ends with code 0
    And every daemon answers sava with status 200 within 5 seconds
    When sava is a new organisation
    And sava sends request "new" of 8 tokens to daemon 3
    Then "new" is answered whole

  Scenario: A drained target gets nothing new
    When an operator runs "target change runner-0 --draining yes" through daemon 3
    Then the accepted revision is in force on every daemon within 5 seconds
    And engine 1 gets nothing new
    When an operator runs "target change runner-0 --draining no" through daemon 2
    Then the accepted revision is in force on every daemon within 5 seconds

  Scenario: Two operators change one record at once
    When two operators set the deadline of class short on the same revision
    Then one command ends with code 0, the other with code 3 and names the first

  Scenario: Replies of the table are lost after the change took effect
    When the table loses the next 3 replies
    And an operator runs "class change review --deadline 25 --change-id lost-1" through daemon 1
    Then the command ends with code 0
    And the accepted revision is in force on every daemon within 5 seconds
    And the history holds change lost-1 once

  Scenario: A frozen daemon that wakes does not fall back
    When daemon 2 freezes
    And an operator runs "organisation change skupna --revoke-key key-skupna" through daemon 1
    Then the command ends with code 0
    And every daemon answers skupna with status 401 within 5 seconds
    When 3 seconds pass
    And daemon 2 wakes
    Then every daemon answers skupna with status 401 within 5 seconds
    And every daemon goes on answering skupna with status 401

  Scenario: Records of two schema versions stand side by side
    When an operator runs "budget create novak --limit 1000" through daemon 1
    And an operator applies these records through daemon 2
      """
      [{"kind": "class", "schema": 1, "name": "priority-1", "rank": 1, "deadline": 20},
       {"kind": "organisation", "schema": 1, "name": "novak", "budget": "novak",
        "keys": ["sha256:DIGEST"], "priority": 1, "models": ["plan-review"]}]
      """
    Then the command ends with code 0
    And every daemon answers novak with status 200 within 5 seconds
    And every daemon answers atlas with status 200 within 5 seconds
    When novak is a new organisation
    And novak sends request "old-schema" of 8 tokens to daemon 3
    Then "old-schema" is answered whole

  Scenario: A new instance gets the configuration from its peers in an outage
    When the table is down
    And daemon 3 is killed
    And daemon 3 is replaced by a new instance
    Then every daemon answers atlas with status 200 within 5 seconds
    And every daemon answers drava with status 401 within 5 seconds
    When the table is back
    And atlas sends request "after" of 8 tokens to daemon 3 again for as long as it is told to
    Then "after" is answered whole
    And every rule holds

  Scenario: A new instance borrows from the home in an outage
    When atlas sends 2 requests of 8 tokens to every daemon
    And the table is down
    And daemon 3 is killed
    And daemon 3 is replaced by a new instance
    And atlas sends request "borrowed" of 8 tokens to daemon 3 again for as long as it is told to
    Then "borrowed" is answered whole
    When the table is back
    Then request "borrowed" is billed once
    And every rule holds
