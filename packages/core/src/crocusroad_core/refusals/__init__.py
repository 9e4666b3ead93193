"""Refusals: why a request was not served, and what the caller can do."""

from crocusroad_core.refusals._refusal import Refusal
from crocusroad_core.refusals._remedies import refuse

__all__ = ['Refusal', 'refuse']
