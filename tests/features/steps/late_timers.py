"""Steps that stop the event loop of a connection from a caller."""

import asyncio
import os
import signal
import socket
import time
from types import SimpleNamespace

import uvloop
from behave import given, then, when

from crocusroad_core.routes import RequestLimits
from crocusroad_node.gateway._connection import CallerConnection
from crocusroad_node.gateway._drain import plan_drain
from crocusroad_node.gateway._reply import Reply, noop_stop
from crocusroad_node.node_lifecycle import NodeLifecycle
from tests.support.fleet import GRACE_SECONDS

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
STOP_AFTER_SECONDS = 0.05
WAIT_SECONDS = 0.1  # for the answer or the end of the connection


@given('a connection of a caller that is closed after {seconds:g} idle seconds')
def step_connection(context, seconds):
    context.connection_context = SimpleNamespace(
        limits=RequestLimits(idle_seconds=seconds),
        is_draining=False,
        connections=set(),
        acknowledged_header=b'',
        handle_notification=lambda req: False,
        on_close=lambda end, dropped: None,
    )


@when(
    'its process is stopped for {seconds:g} seconds and gets a request'
    ' meanwhile'
)
def step_stopped_with_request(context, seconds):
    context.received = receive(context, REQUEST, seconds)


@when('its process is stopped for {seconds:g} seconds')
def step_stopped(context, seconds):
    context.received = receive(context, b'', seconds)


def receive(context, sent, seconds):
    """Return what a caller gets that sends bytes while the loop is stopped."""

    async def call(address):
        loop = asyncio.get_running_loop()
        caller = socket.create_connection(address)
        # After a callback of a socket, the loop fires its timers first.
        signalled, signalling = socket.socketpair()

        def stop():
            loop.remove_reader(signalled)
            caller.sendall(sent)
            time.sleep(seconds)

        with caller, signalled, signalling:
            loop.add_reader(signalled, stop)
            loop.call_later(STOP_AFTER_SECONDS, signalling.send, b'x')
            await asyncio.sleep(STOP_AFTER_SECONDS + WAIT_SECONDS)
            await asyncio.sleep(WAIT_SECONDS / 2)
            caller.setblocking(False)
            return read_all(caller)

    return serve(context, answer, call)


def answer(req, send_reply):
    send_reply(Reply(200))
    return noop_stop


def serve(context, handle, call):
    """Serve connections while `call` runs; return what it returns."""

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(context.connection_context, handle),
            '127.0.0.1',
            0,
        )
        received = await call(server.sockets[0].getsockname())
        server.close()
        return received

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


@when('it has 2 pipelined requests and idle ones are closed after each reply')
def step_pipelined_close(context):
    connections = context.connection_context.connections

    def handle(req, send_reply):
        def reply():
            send_reply(Reply(200))
            for connection in tuple(connections):
                connection.close_if_idle()

        asyncio.get_running_loop().call_soon(reply)
        return noop_stop

    async def call(address):
        with socket.create_connection(address) as sock:
            sock.sendall(2 * REQUEST)
            await asyncio.sleep(WAIT_SECONDS)
            return read_all(sock)

    context.received = serve(context, handle, call)


@when('it gets a request that is unread as idle ones are closed')
def step_unread_close(context):
    connections = context.connection_context.connections

    async def call(address):
        with socket.create_connection(address) as sock:
            sock.sendall(REQUEST)
            await asyncio.sleep(WAIT_SECONDS)
            read_all(sock)
            sock.sendall(REQUEST)
            for connection in tuple(connections):
                connection.close_if_idle()
            await asyncio.sleep(WAIT_SECONDS)
            return read_all(sock)

    context.received = serve(context, answer, call)


@then('both requests are answered')
def step_both_answered(context):
    assert context.received.count(b'HTTP/1.1 200 ') == 2, context.received


def read_all(caller):
    """Return what a caller has got; nothing if its connection was reset."""
    try:
        return caller.recv(4096)
    except ConnectionResetError:
        return b''


@then('the request is answered')
def step_answered(context):
    assert context.received.startswith(b'HTTP/1.1 200 '), context.received


@then('the caller gets the end of the connection')
def step_closed(context):
    assert context.received == b'', context.received


@given(
    "a gateway's process that is held up for {seconds:g} seconds after SIGTERM"
)
def step_held_up_stop(context, seconds):
    lifecycle = NodeLifecycle()

    def stop():
        lifecycle.drain()
        time.sleep(seconds)

    async def main():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop)
        context.stopped_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        await lifecycle.draining.wait()
        context.times = plan_drain(lifecycle.drain_began_at, GRACE_SECONDS)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


@then('its answers are due {seconds:g} seconds after SIGTERM')
def step_answers_due(context, seconds):
    due = context.times.answers_until - context.stopped_at
    assert abs(due - seconds) < 0.1, due
