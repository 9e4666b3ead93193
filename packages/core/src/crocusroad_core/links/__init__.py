"""Connections to replicas: how many, and which of them to trust."""

from crocusroad_core.links._instance_view import InstanceView
from crocusroad_core.links._part import connection_part
from crocusroad_core.links._silence import SilenceWatch

__all__ = ['InstanceView', 'SilenceWatch', 'connection_part']
