"""The load and experiment tool of crocusroad."""
