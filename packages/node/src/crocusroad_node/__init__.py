"""The crocusroad node: takes requests, fans them out and merges answers."""
