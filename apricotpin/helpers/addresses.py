"""Network addresses of the form ip:port."""

import ipaddress
from typing import Final

PORT_MAX: Final = 65535
# Longest text that an error quotes.
_QUOTED_MAX: Final = 64


class Address:
    """Hold an IP number and a port."""

    __slots__ = ('ip', 'port')

    def __init__(self, ip: str, port: int) -> None:
        self.ip = ip
        self.port = port

    @classmethod
    def from_text(cls, text: str) -> 'Address':
        """Parse ip:port; raise ValueError for anything else."""
        ip, separator, port_text = text.rpartition(':')
        is_number = port_text.isascii() and port_text.isdigit()
        if not separator or not ip or not is_number:
            raise ValueError(
                f'{text[:_QUOTED_MAX]!r} is not of the form ip:port'
            )
        # A number of thousands of digits can't be converted to an integer.
        if len(port_text) > len(str(PORT_MAX)) or int(port_text) > PORT_MAX:
            raise ValueError(
                f'{text[:_QUOTED_MAX]!r} has no port up to {PORT_MAX}'
            )
        return cls(ip, int(port_text))

    @classmethod
    def from_ipv4_text(cls, text: str) -> 'Address':
        """Parse an IPv4 address and a port that can be connected to."""
        address = cls.from_text(text)
        ipaddress.IPv4Address(address.ip)
        if not address.port:
            raise ValueError(f'{text!r} has port 0')
        return address

    def as_tuple(self) -> tuple[str, int]:
        """Return the (ip, port) pair that socket functions expect."""
        return (self.ip, self.port)

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'
