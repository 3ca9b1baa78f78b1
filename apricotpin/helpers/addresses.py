"""Network addresses of the form ip:port."""


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
        if not separator or not ip:
            raise ValueError(f'{text!r} is not of the form ip:port')
        return cls(ip, int(port_text))

    def as_tuple(self) -> tuple[str, int]:
        """Return the (ip, port) pair that socket functions expect."""
        return (self.ip, self.port)

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'
