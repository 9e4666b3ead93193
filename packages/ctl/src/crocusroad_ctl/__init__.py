"""The command line for crocusroad operators."""
