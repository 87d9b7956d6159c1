Feature: Money stays right whatever fails

  Background:
    Given a fleet of 3 daemons and 2 engines
      | organisation | tokens  | policy    |
      | atlas        | 1000000 | available |
      | skupna       | 1000000 | strict    |
      | small        | 900     | strict    |
      | drava        | 1000000 | strict    |

  Scenario: A daemon is killed in mid-stream and the caller retries elsewhere
    When atlas starts a stream "a" of 300 tokens through daemon 1
    And daemon 1 is killed
    Then "a" is broken off
    When atlas sends request "a" of 300 tokens to daemon 2
    Then "a" is answered whole
    And request "a" is billed once
    And every rule holds

  Scenario: A retry under the same id through another daemon is billed once
    When atlas sends request "b" of 20 tokens to daemon 1
    And atlas sends request "b" of 20 tokens to daemon 2
    And atlas sends request "b" of 20 tokens to daemon 3
    Then request "b" is billed once
    And every rule holds

  Scenario: Two organisations use the same request ids
    # The budgets of these two are in the same shard.
    When skupna sends requests "r-1" to "r-6" of 8 tokens to daemon 1
    And drava sends requests "r-1" to "r-6" of 8 tokens to daemon 2
    Then all of them are answered whole
    And every rule holds

  Scenario: A budget is used up by every daemon at once
    When small sends 6 requests of 16 tokens to every daemon
    Then at least 3 of them are answered whole
    And the others are refused as not_run
    And every rule holds

  Scenario: Replies of the table are lost after their writes took effect
    When the table loses the next 6 replies
    And skupna sends 4 requests of 8 tokens to every daemon
    Then at least 9 of them are answered whole
    And the others are refused as not_run
    And every rule holds

  Scenario: The table is down while callers go on within the credit at hand
    When atlas sends 4 requests of 8 tokens to every daemon
    And the table is down
    And atlas sends request "c" of 8 tokens to daemon 1
    Then "c" is answered whole
    When the table is back
    Then request "c" is billed once
    And every rule holds

  Scenario: A daemon freezes for longer than any timeout and wakes
    When skupna starts a stream "d" of 300 tokens through daemon 1
    And daemon 1 freezes
    And 6 seconds pass
    And skupna sends 4 requests of 8 tokens to every daemon
    And daemon 1 wakes
    Then "d" is answered whole
    And request "d" is billed once
    And every rule holds

  Scenario: A graceful shutdown cuts nothing and leaves no grant behind
    When skupna starts a stream "e" of 200 tokens through daemon 2
    And daemon 2 is asked to stop
    Then "e" is answered whole
    And daemon 2 has ended cleanly
    And request "e" is billed once
    And skupna has no open grants
    And every rule holds

  Scenario: The home of a budget dies in an outage and its replacement serves
    When atlas sends 2 requests of 8 tokens to every daemon
    And the table is down
    # Daemon 2 is the home of atlas in a fresh fleet.
    And daemon 2 is killed
    And daemon 2 is replaced by a new instance
    And atlas sends request "orphan" of 8 tokens to daemon 2 again for as long as it is told to
    Then "orphan" is answered whole
    When the table is back
    Then request "orphan" is billed once
    And every rule holds
