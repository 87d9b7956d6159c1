Feature: Calls that must not be repeated run at most once

  Background:
    Given a fleet of 3 daemons and 1 engines
      | organisation | tokens  | policy    |
      | atlas        | 1000000 | available |

  Scenario: An order is placed twice through two daemons
    When atlas places order "A-12" through daemon 1
    Then "A-12" is answered whole
    When atlas places order "A-12" through daemon 2
    Then "A-12" is answered whole
    And order "A-12" was executed 1 times

  Scenario: An order is refused as not run while the table is down
    When the table is down
    And atlas places order "A-13" through daemon 1
    Then "A-13" is refused as not_run because of platform_unavailable
    And order "A-13" was executed 0 times
    When the table is back
    And atlas places order "A-13" through daemon 2
    Then "A-13" is answered whole
    And order "A-13" was executed 1 times

  Scenario: The reply to the claim is lost
    When the table loses the next 1 replies
    And atlas places order "A-14" through daemon 1
    And atlas places order "A-14" through daemon 2
    Then "A-14" is answered whole
    And order "A-14" was executed 1 times
