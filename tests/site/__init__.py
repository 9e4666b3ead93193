"""Fleets of gateway processes at the size of a site, under load and trouble."""
