"""Stand-in for the platform's host list, which shows changes after a lag."""

import json
import pathlib
import types
from typing import Any, Final

import gevent

from apricotpin.core import Kernel, Reply
from script.standins.faults import current_faults, register_faults
from script.standins.web import Request, Response, Route, call_service

HOST_LIST: Final = 'host_list'
_DEFAULT_SWITCHES: Final = types.MappingProxyType(
    {'outage': False, 'delay_s': 0}
)


class PutHost:
    """Add or replace a host; the list shows it after the lag."""

    __slots__ = ('fields', 'host_id')

    def __init__(self, host_id: str, fields: Any) -> None:
        self.host_id = host_id
        self.fields = fields


class RemoveHost:
    """Remove a host; the list shows this after the lag."""

    __slots__ = ('host_id',)

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id


class ApplyChange:
    """Apply a change whose lag has passed to the visible list."""

    __slots__ = ('change',)

    def __init__(self, change: PutHost | RemoveHost) -> None:
        self.change = change


class GetHosts:
    """Request the visible hosts."""

    __slots__ = ()


class HostListService:
    """Own the visible list of hosts."""

    __slots__ = ('_hosts', '_kernel', '_lag_s')

    def __init__(self, kernel: Kernel, hosts: list[Any], lag_s: float) -> None:
        self._kernel = kernel
        self._lag_s = lag_s
        self._hosts = {fields['host_id']: fields for fields in hosts}

    def schedule_change(
        self, message: PutHost | RemoveHost, reply: Reply
    ) -> None:
        """Apply a change to the visible list after the lag."""
        self._kernel.spawn(self._apply_after_lag, message)
        reply.ok()

    def apply_change(self, message: ApplyChange, reply: Reply) -> None:
        """Apply a change to the visible list."""
        change = message.change
        if isinstance(change, PutHost):
            self._hosts[change.host_id] = change.fields
        else:
            self._hosts.pop(change.host_id, None)
        reply.ok()

    def report_hosts(self, _message: GetHosts, reply: Reply) -> None:
        """Reply with the visible hosts."""
        reply.ok(list(self._hosts.values()))

    def _apply_after_lag(self, change: PutHost | RemoveHost) -> None:
        gevent.sleep(self._lag_s)
        self._kernel.send(HOST_LIST, ApplyChange(change))


def set_up(
    kernel: Kernel,
    hosts_path: pathlib.Path | None,
    lag_s: float,
) -> list[Route]:
    """Register the host list's services and return its routes."""
    routes = register_faults(kernel, _DEFAULT_SWITCHES)
    hosts = json.loads(hosts_path.read_text())['hosts'] if hosts_path else []
    service = HostListService(kernel, hosts, lag_s)
    kernel.register(
        HOST_LIST,
        {
            PutHost: service.schedule_change,
            RemoveHost: service.schedule_change,
            ApplyChange: service.apply_change,
            GetHosts: service.report_hosts,
        },
    )

    def get_endpoint(_request: Request) -> Response:
        faults = current_faults(kernel)
        gevent.sleep(faults['delay_s'])
        if faults['outage']:
            return Response.with_error(503, 'outage')
        return Response.with_json(
            {'hosts': call_service(kernel, HOST_LIST, GetHosts())}
        )

    def put_endpoint(request: Request, host_id: str) -> Response:
        call_service(kernel, HOST_LIST, PutHost(host_id, request.document()))
        return Response.with_json({})

    def remove_endpoint(_request: Request, host_id: str) -> Response:
        call_service(kernel, HOST_LIST, RemoveHost(host_id))
        return Response.with_json({})

    return [
        *routes,
        ('GET', '/hosts', get_endpoint),
        ('PUT', '/hosts/([^/]+)', put_endpoint),
        ('DELETE', '/hosts/([^/]+)', remove_endpoint),
    ]
