"""Queueing of requests for a server that is busy, and their refusal."""

from crocusroad_core.queueing._return_schedule import ReturnSchedule
from crocusroad_core.queueing._service_times import ServiceTimes
from crocusroad_core.queueing._wait_queue import WaitQueue
from crocusroad_core.queueing._waiting import (
    QueueEstimate,
    ServerLoad,
    WaitingRequest,
)

__all__ = [
    'QueueEstimate',
    'ReturnSchedule',
    'ServerLoad',
    'ServiceTimes',
    'WaitQueue',
    'WaitingRequest',
]
