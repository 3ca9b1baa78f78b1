"""Thrift listener for other apricotpin processes."""

from gevent.server import StreamServer
from result import Result

from apricotpin.components.peer_api.dispatch import (
    make_connection_handler,
    route_table,
)
from apricotpin.const import SERVICE_PEER_API
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.listeners import open_listener
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Start the thrift listener."""
    return open_listener(settings.peer_listen).map(
        lambda listener: _start(kernel, listener),
    )


def _start(kernel: Kernel, listener: object) -> None:
    server = StreamServer(
        listener,
        make_connection_handler(kernel, route_table()),
    )
    server.start()
    kernel.register(SERVICE_PEER_API, {}, on_stop=server.close)
