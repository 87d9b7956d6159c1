@shared_fleet
Feature: Callers who hang up, err, or send what crashes engines

  Background:
    Given a fleet of 3 daemons, and 4 engines that "poison" in a prompt restarts
      | organisation | tokens  | policy    |
      | atlas        | 1000000 | available |

  Scenario: The unmodified openai client is served
    Then the openai client lists the models of atlas at daemon 1
    And the openai client gets a whole answer for atlas from daemon 1
    And the openai client gets a whole stream for atlas from daemon 2
    And the openai client sees that atlas may not use model other
    And the openai client sees that the key wrong is not known
    And every rule holds

  Scenario: A caller hangs up
    When atlas hangs up during a stream "h" through daemon 1
    Then the engine has cancelled "h"
    And no more than was generated is billed for "h"

  Scenario: Requests with faults
    Then these requests to daemon 1 are answered so
      | key       | path                 | body               | status | reason            | execution |
      | key-atlas | /v1/chat/completions | cut off            | 400    | invalid_request   | not_run   |
      | key-atlas | /v1/chat/completions | wrong type         | 400    | invalid_request   | not_run   |
      | key-atlas | /v1/chat/completions | unknown field      | 400    | invalid_request   | not_run   |
      | key-atlas | /v1/chat/completions | other model        | 403    | model_not_allowed | not_run   |
      | key-nobody | /v1/chat/completions | correct            | 401    | unauthenticated   | not_run   |
      | key-atlas | /v1/unheard-of       | correct            | 404    | service_not_found | not_run   |
      | key-atlas | /v1/chat/completions | without max_tokens | 200    |                   |           |

  Scenario: A body that is announced as too large is refused before it comes
    When atlas announces a body of 5000000 bytes to daemon 1
    Then the answer is 413 because of request_too_large

  Scenario: A request that crashes engines is refused by every daemon
    When atlas starts request "innocent" of 200 tokens to daemon 3
    And atlas starts request "poison" of 8 tokens to daemon 1
    Then "poison" is refused as may_have_run
    When atlas sends request "poison" of 8 tokens to daemon 2
    Then "poison" is refused as not_run because of quarantined
    When atlas sends request "poison" of 8 tokens to daemon 3
    Then "poison" is refused as not_run because of quarantined
    And request "poison" reached 2 engines
    And "innocent" is answered whole
    And request "innocent" is billed once
    When atlas sends 4 requests of 8 tokens to every daemon
    Then all of them are answered whole

  Scenario: An engine dies under a request that is not streamed
    When atlas starts request "u" of 300 tokens to daemon 1
    And the engine that runs "u" is killed
    Then "u" is answered whole
    And request "u" is billed once

  Scenario: An engine dies under a stream that has begun
    When atlas starts a stream "v" of 300 tokens through daemon 2
    And the engine that runs "v" is killed
    Then "v" ends with an error that says may_have_run, and without [DONE]
    And request "v" is billed once
    And every rule holds

  Scenario: A request that crashes an engine is not sent to it again
    When atlas starts request "poison-twice" of 8 tokens to daemon 3
    Then "poison-twice" is refused as may_have_run
    And request "poison-twice" was sent once to each engine

  Scenario: A body that is too large is refused while it comes
    Then daemon 1 answers 20 bodies of 5000000 bytes by atlas with status 413
