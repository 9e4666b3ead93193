Feature: Operators declare fronts with crocusctl
  Each step runs the real command against a real node and a stand-in for the KV,
  so that output and exit codes which operators' scripts rely on do not change
  unnoticed.

  Scenario: A front is created, changed and deleted
    Given a running node
    When the operator runs "apply desk {good} --revision 0"
    Then the command exits with 0 and prints "desk accepted, revision 1"
    When the operator runs "get desk"
    Then the command exits with 0 and prints "desk"
    When the operator saves the output of "get desk -o json" and applies it to "desk"
    Then the command exits with 0 and prints "desk accepted, revision 2"
    When the operator runs "apply desk {good} --revision 1"
    Then the command exits with 3 and prints "current revision 2"
    When the operator runs "delete desk --revision 2"
    Then the command exits with 0 and prints "revision 3"
    When the operator runs "get desk"
    Then the command exits with 5 and prints "no front 'desk'"
    When the operator runs "watch --after 0 --count 3 -o json"
    Then the command exits with 0 and prints "deleted"

  Scenario Outline: <command> exits with <code>
    Given a running node
    When the operator runs "<command>"
    Then the command exits with <code> and prints "<text>"

    Examples:
      | command                     | code | text                      |
      | check {good}                | 0    | no faults                 |
      | check {bad}                 | 4    | shard_maps[0].version     |
      | check {torn}                | 1    | name a readable JSON file |
      | check missing.json          | 1    | name a readable JSON file |
      | apply desk {bad}            | 4    | kinds[0].deadline_ms      |
      | apply desk {good}           | 0    | accepted                  |
      | apply x {good} --revision 9 | 3    | reapply the change to it  |
      | delete x --revision 4       | 3    | conflict                  |
      | status                      | 0    | serving                   |
      | get --token wrong           | 6    | unauthorized              |
      | watch --after nonsense      | 2    | a valid integer           |
      | get --server http://127.0.0.1:1 | 9 | no answer from the server |

  Scenario Outline: The check of a settings file with <fault> exits with <code>
    Given a settings file with <fault>
    When crocusroad checks the settings file
    Then the check exits with <code> and prints "<text>"

    Examples:
      | fault                       | code | text                             |
      | no fault                    | 0    | no faults                        |
      | an unknown key              | 78   | [callers] colour = 'red': remove |
      | an unknown section          | 78   | [extras]                         |
      | a bad number                | 78   | give a share from 0 to 1         |
      | a missing key               | 78   | missing; give 1 to 63            |
      | two faults                  | 78   | [instance] zone                  |
      | broken syntax               | 78   | correct the INI syntax           |
