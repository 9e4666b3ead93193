Feature: Operators declare fronts with crocusctl
  Each step runs the real command against a real node and the stand-in KV.

  Scenario: A front through its life
    Given a node for operators
    When the operator runs "apply desk {good} --revision 0"
    Then the command ends with 0 and says "desk accepted, revision 1"
    When the operator runs "get desk"
    Then the command ends with 0 and says "desk"
    When the operator saves "get desk -o json" and applies it again as "desk"
    Then the command ends with 0 and says "desk accepted, revision 2"
    When the operator runs "apply desk {good} --revision 1"
    Then the command ends with 3 and says "current revision 2"
    When the operator runs "delete desk --revision 2"
    Then the command ends with 0 and says "revision 3"
    When the operator runs "get desk"
    Then the command ends with 5 and says "no front 'desk'"
    When the operator runs "watch --after 0 --count 3 -o json"
    Then the command ends with 0 and says "deleted"

  Scenario Outline: <command> ends with <code>
    Given a node for operators
    When the operator runs "<command>"
    Then the command ends with <code> and says "<text>"

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

  Scenario Outline: The settings file with <fault>
    Given a settings file with <fault>
    When crocusroad checks the settings
    Then the check ends with <code> and names "<text>"

    Examples:
      | fault                       | code | text                             |
      | no fault                    | 0    | no faults                        |
      | an unknown key              | 78   | [callers] colour = 'red': remove |
      | an unknown section          | 78   | [extras]                         |
      | a bad number                | 78   | give a share from 0 to 1         |
      | a missing key               | 78   | missing; give 1 to 63            |
      | two faults                  | 78   | [instance] zone                  |
      | broken syntax               | 78   | correct the INI syntax           |
