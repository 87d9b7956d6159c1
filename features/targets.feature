Feature: Targets leave, die and return

  Background:
    Given a fleet of 3 daemons and 2 engines
      | organisation | tokens  | policy    |
      | atlas        | 1000000 | available |

  Scenario: A leaving engine gets nothing new after three seconds
    When engine 1 is listed as leaving
    And 3 seconds pass
    Then engine 1 gets nothing new

  Scenario: An engine dies and callers do not notice
    When engine 1 is killed
    And atlas sends 4 requests of 8 tokens to every daemon
    Then all of them are answered whole
    And every rule holds
