"""Messages about health and status of this process."""

from typing import Any


class Health:
    """Report whether a service is ready, with the reason if it is not."""

    __slots__ = ('ready', 'reason', 'service')

    def __init__(self, service: str, ready: bool, reason: str = '') -> None:
        self.service = service
        self.ready = ready
        self.reason = reason


class GetServiceStatus:
    """Ask a service for its status, shown under /status."""

    __slots__ = ()


class ServiceStatus:
    """Hold the status values of a service, ready for JSON."""

    __slots__ = ('fields', 'service')

    def __init__(self, service: str, fields: dict[str, Any]) -> None:
        self.service = service
        self.fields = fields


class GetProcessStatus:
    """Ask for readiness and the status of every service."""

    __slots__ = ()
