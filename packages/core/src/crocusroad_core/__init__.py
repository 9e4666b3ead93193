"""Decisions of the crocusroad query tier.

Nothing in this package does I/O, reads a clock or draws entropy: the present
time (`now`, seconds) and random numbers are arguments.
"""
