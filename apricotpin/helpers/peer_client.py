"""Client for calls to other apricotpin processes over thrift."""

from typing import Any, Final

from gevent import socket
from result import Err, Ok, Result
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.thrift import TClient, TException
from thriftpy2.transport import TCyBufferedTransport, TSocket

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.wire import PEER_IDL, from_wire, to_wire

# With this buffer size a chunk is received in few reads.
TRANSPORT_BUFFER_BYTES: Final = 65536


class PeerClient:
    """Own one connection to each peer that is called.

    Only one greenlet may use a client, since a connection carries one call
    at a time.
    """

    __slots__ = ('_connections', '_source_ip')

    def __init__(self, source_ip: str = '') -> None:
        self._source_ip = source_ip
        self._connections: dict[str, socket.socket] = {}

    def call(
        self,
        address: str,
        method: str,
        request: Any,
        timeout_s: float,
    ) -> Result[Any, Failure]:
        """Call a method of a peer; each read may take timeout_s.

        A connection that failed is closed, so that a late response is not
        assigned to a later call.
        """
        try:
            return Ok(self._call(address, method, request, timeout_s))
        except (OSError, TException, ValueError, EOFError) as error:
            self.drop(address)
            detail = f'{method} at {address}: {error!r}'
            return Err(Failure(ErrorKind.PEER_UNAVAILABLE, detail))
        except BaseException:
            # If the greenlet is killed during a call, the rest of the response
            # must not stay on the connection.
            self.drop(address)
            raise

    def drop(self, address: str) -> None:
        """Close the connection to a peer."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._connections):
            self.drop(address)

    def _call(
        self,
        address: str,
        method: str,
        request: Any,
        timeout_s: float,
    ) -> Any:
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connect(address, timeout_s)
            self._connections[address] = connection
        connection.settimeout(timeout_s)
        struct = getattr(_client_of(connection), method)(to_wire(request))
        return from_wire(struct)

    def _connect(self, address: str, timeout_s: float) -> socket.socket:
        source = (self._source_ip, 0) if self._source_ip else None
        connection = socket.create_connection(
            Address.from_text(address).as_tuple(),
            timeout=timeout_s,
            source_address=source,
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


def _client_of(connection: socket.socket) -> TClient:
    handle = TSocket()
    handle.set_handle(connection)
    transport = TCyBufferedTransport(handle, TRANSPORT_BUFFER_BYTES)
    return TClient(PEER_IDL.Peer, TCyBinaryProtocol(transport))
