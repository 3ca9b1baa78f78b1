"""What dispatch knows of one upstream."""

from typing import Any

from apricotpin.messages.fleet import LoadReport
from apricotpin.messages.upstreams import UpstreamEntry


class IdleConnection:
    """Hold an open connection and the time until which it may be reused."""

    __slots__ = ('connection', 'expires_s')

    def __init__(self, connection: Any, expires_s: float) -> None:
        self.connection = connection
        self.expires_s = expires_s


class StatedAvailability:
    """Hold what an upstream has stated about new requests.

    is_leaving is true once it has stated that it shuts down, and until
    pause_until_s it wants no requests. forgotten_s is when the statement may
    be forgotten, if the upstream is no longer listed.
    """

    __slots__ = ('forgotten_s', 'is_leaving', 'pause_until_s')

    def __init__(self) -> None:
        self.is_leaving = False
        self.pause_until_s = float('-inf')
        self.forgotten_s = float('inf')


class Upstream:
    """Track the load, the health and the idle connections of one upstream.

    own_in_flight counts the attempts of this host in progress.
    others_in_flight estimates those of all other hosts from the load report
    received at report_received_s.
    """

    __slots__ = (
        'availability',
        'backoff_until_s',
        'connection_failures',
        'entry',
        'failure_score',
        'idle_connections',
        'others_in_flight',
        'own_in_flight',
        'report',
        'report_received_s',
    )

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.availability = StatedAvailability()
        self.own_in_flight = 0
        self.others_in_flight = 0
        self.report: LoadReport | None = None
        self.report_received_s = float('-inf')
        # Failures to connect and resets since the last response.
        self.connection_failures = 0
        # Moving average of failed attempts, from 0 to 1 if all fail.
        self.failure_score: float = 0
        self.backoff_until_s = float('-inf')
        self.idle_connections: list[IdleConnection] = []
