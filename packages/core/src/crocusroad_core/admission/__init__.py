"""Admission control by caller, kind, deadline, load and worth."""

from crocusroad_core.admission._controller import AdmissionController
from crocusroad_core.admission._decaying_peak import DecayingPeak
from crocusroad_core.admission._limit import ConcurrencyLimit
from crocusroad_core.admission._live_instances import LiveInstanceCount
from crocusroad_core.admission._quantile import DecayingQuantile
from crocusroad_core.admission._ticket import Ticket
from crocusroad_core.admission._token_bucket import TokenBucket

__all__ = [
    'AdmissionController',
    'ConcurrencyLimit',
    'DecayingPeak',
    'DecayingQuantile',
    'LiveInstanceCount',
    'Ticket',
    'TokenBucket',
]
