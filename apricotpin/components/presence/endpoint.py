"""Datagrams on the socket of this process."""

from collections.abc import Iterable
from typing import Any

from gevent import socket
from loguru import logger

from apricotpin.components.presence import const
from apricotpin.const import SERVICE_PRESENCE
from apricotpin.core import Kernel
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.wire import decode_datagram, encode_datagram


class Received:
    """Carry a message that arrived in a datagram."""

    __slots__ = ('message',)

    def __init__(self, message: Any) -> None:
        self.message = message


def send(endpoint: socket.socket, address: str, message: Any) -> None:
    """Send a datagram; one that cannot be sent is lost like any other."""
    send_all(endpoint, (address,), message)


def send_all(
    endpoint: socket.socket,
    addresses: Iterable[str],
    message: Any,
) -> None:
    """Send one message, encoded once, to several addresses."""
    datagram = encode_datagram(message)
    for address in addresses:
        try:
            endpoint.sendto(datagram, Address.from_text(address).as_tuple())
        except (OSError, ValueError) as error:
            logger.bind(address=address, error=repr(error)).debug('send_failed')


def receive_forever(kernel: Kernel, endpoint: socket.socket) -> None:
    """Pass each datagram to the service; one that can't be read is dropped."""
    while True:
        try:
            received = endpoint.recv(const.DATAGRAM_MAX_BYTES)
        except OSError:
            # An earlier datagram found no listener.
            continue
        message = decode_datagram(received)
        if message is not None:
            kernel.send(SERVICE_PRESENCE, Received(message))
