"""Listening sockets, with failures that name the address."""

from typing import Final

from gevent import socket
from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.addresses import Address

_BACKLOG: Final = 1024


def open_listener(address: Address) -> Result[socket.socket, Failure]:
    """Bind an address and listen on it; the failure names the address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit this option. Without it each small part of a
    # stream waits for the acknowledgement of the part before.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        listener.bind(address.as_tuple())
    except OSError as error:
        listener.close()
        detail = f'cannot listen on {address}: {error.strerror}'
        return Err(Failure(ErrorKind.PORT_TAKEN, detail))
    listener.listen(_BACKLOG)
    return Ok(listener)
