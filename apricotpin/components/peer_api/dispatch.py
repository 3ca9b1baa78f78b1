"""Passes calls of peers to the services that handle them."""

import functools
import types
from collections.abc import Callable
from typing import Any

from gevent import socket
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.thrift import TApplicationException, TException, TProcessor
from thriftpy2.transport import TCyBufferedTransport, TSocket

from apricotpin.components.peer_api.const import (
    DISPATCH_TIMEOUT_S,
    IDLE_TIMEOUT_S,
)
from apricotpin.const import (
    SERVICE_ADMIN,
    SERVICE_CLAIMS,
    SERVICE_CONFIGURATION,
    SERVICE_MEMBERS,
    SERVICE_WEIGHTS,
)
from apricotpin.core import Kernel
from apricotpin.helpers.peer_client import TRANSPORT_BUFFER_BYTES
from apricotpin.helpers.wire import PEER_IDL, from_wire, to_wire


def route_table() -> dict[str, str]:
    """Return the name of the service that handles each method."""
    return {
        'fetch_chunk': SERVICE_WEIGHTS,
        'weights_status': SERVICE_WEIGHTS,
        'heartbeat': SERVICE_MEMBERS,
        'sync_hosts': SERVICE_MEMBERS,
        'readiness': SERVICE_ADMIN,
        'config_state': SERVICE_CONFIGURATION,
        'read_feed': SERVICE_CONFIGURATION,
        'read_shared_list': SERVICE_CONFIGURATION,
        'claim': SERVICE_CLAIMS,
        'record_outcome': SERVICE_CLAIMS,
        'find_outcome': SERVICE_CLAIMS,
    }


def make_connection_handler(
    kernel: Kernel,
    routes: dict[str, str],
) -> Callable[[socket.socket, Any], None]:
    """Return the function that handles one connection until it is closed."""
    methods = {
        method: functools.partial(_dispatch, kernel, service)
        for method, service in routes.items()
    }
    processor = TProcessor(PEER_IDL.Peer, types.SimpleNamespace(**methods))

    def serve(connection: socket.socket, _address: Any) -> None:
        connection.settimeout(IDLE_TIMEOUT_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        handle = TSocket()
        handle.set_handle(connection)
        transport = TCyBufferedTransport(handle, TRANSPORT_BUFFER_BYTES)
        protocol = TCyBinaryProtocol(transport)
        try:
            _serve_requests(processor, protocol)
        except (OSError, TException, EOFError):
            # The peer closed the connection or sent a malformed message.
            connection.close()

    return serve


def _serve_requests(processor: TProcessor, protocol: Any) -> None:
    while True:
        processor.process(protocol, protocol)


def _dispatch(kernel: Kernel, service: str, request: Any) -> Any:
    outcome = kernel.call(service, from_wire(request), DISPATCH_TIMEOUT_S)
    if outcome.is_err():
        failure = outcome.err_value
        raise TApplicationException(
            TApplicationException.INTERNAL_ERROR,
            repr(failure),
        )
    return to_wire(outcome.ok_value)
