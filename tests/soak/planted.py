"""Gateways with a fault planted, which the soak has to find.

Run: python -m tests.soak.planted NAME
"""

import sys

from crocusroad_core.discovery import ReplicaTable
from crocusroad_core.gather import Finish, Gather
from crocusroad_core.routes import CurrentRouteTable
from crocusroad_node import gateway_root
from crocusroad_node.exchanges import _connection, _response_reader
from crocusroad_node.gateway import (
    _gateway,
    _plans,
    _query,
    _query_reply,
    _query_spec,
    _replica_response,
)
from crocusroad_platform.main import main


def takes_any_answer():
    def take(self, status):
        headers = tuple(self._headers)
        fields = dict(reversed(headers))
        body = b''.join(self._body)
        self.response = _response_reader.Response(status, headers, fields, body)
        self.keeps_alive = True

    def take_bytes(self, data):
        late = getattr(self, 'late', b'') + data
        self.late = late if self._reader is None else b''
        if self._reader is not None:
            data_received(self, late)

    data_received = _connection.ClientConnection.data_received
    _response_reader.ResponseReader._accept = take
    _connection.ClientConnection.data_received = take_bytes


def adopts_backwards():
    def adopt(self, table, now):
        self.table = table
        return True

    CurrentRouteTable.adopt = adopt


def keeps_draining():
    def replicas(self, service):
        every = self._registrations.values()
        return tuple(one for one in every if one.service == service)

    ReplicaTable.replicas = replicas


def stops_at_once():
    async def drain_connections(context, in_flight, grace):
        return

    gateway_root.drain_connections = drain_connections


def repeats_everything():
    build_plan = _plans.build_plan

    def plan(*words):
        made = build_plan(*words)
        return made._replace(is_repeatable=True)

    _gateway.build_plan = plan


def says_not_run():
    finish = Gather._finish

    def lie(self, **words):
        return [
            one._replace(may_have_run=False) if isinstance(one, Finish) else one
            for one in finish(self, **words)
        ]

    Gather._finish = lie


def overstates_coverage():
    def merged(finish, query, names):
        reply = honest(finish, query, names)
        headers = (reply.headers[0], (reply.headers[1][0], b'0'))
        return reply._replace(headers=headers)

    honest = _query_reply._merge_answers
    _query_reply._merge_answers = merged


def trusts_addresses():
    """A link that is not proved: whoever has the address is taken."""
    make_encoder = _query_spec.make_encoder

    def unproved(req, names):
        encode = make_encoder(req, names)

        def strip(replica, deadline, now):
            raw = encode(replica, deadline, now)
            name = b'%b: %b\r\n' % (
                names.expected_replica,
                replica.name.encode(),
            )
            return raw.replace(name, b'')

        return strip

    _query_spec.make_encoder = unproved
    _query.check_response = lambda response, names, must_be_success: None
    assert _replica_response


PLANTED = {
    one.__name__.replace('_', '-'): one
    for one in (
        takes_any_answer,
        adopts_backwards,
        keeps_draining,
        stops_at_once,
        repeats_everything,
        says_not_run,
        overstates_coverage,
        trusts_addresses,
    )
}

if __name__ == '__main__':
    PLANTED[sys.argv[1]]()
    main()
