"""Refusals of requests: the reason, and what the caller can do about it."""

from crocusroad_core.refusals._refusal import Refusal
from crocusroad_core.refusals._refuse import refuse

__all__ = ['Refusal', 'refuse']
