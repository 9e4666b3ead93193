Feature: Borders between packages
  Decisions do no I/O, so they can be checked without any.

  Scenario Outline: The package <package> does not import <module>
    Then no module of "<package>" imports "<module>"

    Examples:
      | package         | module            |
      | crocusroad_core | asyncio           |
      | crocusroad_core | aiosonic          |
      | crocusroad_core | pynng             |
      | crocusroad_core | starlette         |
      | crocusroad_core | socket            |
      | crocusroad_core | time              |
      | crocusroad_core | random            |
      | crocusroad_core | crocusroad_node   |
      | crocusroad_wire | crocusroad_core   |
      | crocusroad_node | crocusroad_ctl    |
      | crocusroad_ctl  | crocusroad_node   |
