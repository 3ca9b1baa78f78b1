"""Send and receive datagrams on the UDP socket of this process."""

from collections.abc import Iterable
from typing import Any

from gevent import sleep, socket
from loguru import logger

from apricotpin.components.presence import const, decisions
from apricotpin.const import SERVICE_PRESENCE
from apricotpin.core import Kernel
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.wire import decode_datagram, encode_datagram


class DatagramReceived:
    """Carry the decoded content of a datagram to the presence service."""

    __slots__ = ('payload',)

    def __init__(self, payload: Any) -> None:
        self.payload = payload


def send_to_each(
    udp_socket: socket.socket,
    addresses: Iterable[str],
    payload: Any,
) -> None:
    """Send a message, encoded once, to each address.

    A send error is logged and not returned: callers have to cope with lost
    datagrams anyway.
    """
    datagram = encode_datagram(payload)
    for address in addresses:
        try:
            udp_socket.sendto(datagram, Address.from_text(address).as_tuple())
        except (OSError, ValueError) as error:
            logger.bind(address=address, error=repr(error)).debug('send_failed')


def receive_forever(kernel: Kernel, udp_socket: socket.socket) -> None:
    """Pass datagrams to the presence service; drop malformed ones."""
    while True:
        try:
            datagram = udp_socket.recv(const.DATAGRAM_MAX_BYTES)
        except OSError as error:
            # The error of an earlier send to an address without a listener. A
            # lasting one must not keep this greenlet busy.
            logger.bind(error=repr(error)).debug('receive_failed')
            sleep(const.RECEIVE_RETRY_S)
            continue
        payload = decode_datagram(datagram)
        if payload is not None and decisions.is_usable(payload):
            kernel.send(SERVICE_PRESENCE, DatagramReceived(payload))
