"""The decision logic of the crocusroad query tier.

This package does no I/O, reads no clock and generates no random numbers: the
present time (`now`, in seconds) and random numbers are arguments.
"""
