"""Stand-in for the platform's lagging list of hosts."""

import json
import pathlib
import types
from typing import Any, Final

import gevent

from apricotpin.core import Kernel, Reply
from script.standins.faults import current_faults, register_faults
from script.standins.web import Answer, Request, Route, ask

HOST_LIST: Final = 'host_list'
_SWITCHES: Final = types.MappingProxyType({'outage': False, 'delay_s': 0})


class PutHost:
    """Add or replace a host, visible after the lag."""

    __slots__ = ('fields', 'host_id')

    def __init__(self, host_id: str, fields: Any) -> None:
        self.host_id = host_id
        self.fields = fields


class RemoveHost:
    """Remove a host, visible after the lag."""

    __slots__ = ('host_id',)

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id


class ShowChange:
    """Make a change visible now."""

    __slots__ = ('change',)

    def __init__(self, change: PutHost | RemoveHost) -> None:
        self.change = change


class GetHosts:
    """Ask for the visible hosts."""

    __slots__ = ()


class HostListService:
    """Own the visible list."""

    __slots__ = ('_hosts', '_kernel', '_lag_s')

    def __init__(self, kernel: Kernel, hosts: list[Any], lag_s: float) -> None:
        self._kernel = kernel
        self._lag_s = lag_s
        self._hosts = {fields['host_id']: fields for fields in hosts}

    def change(self, message: PutHost | RemoveHost, reply: Reply) -> None:
        """Let a change become visible after the lag."""
        self._kernel.spawn(self._show_later, message)
        reply.ok()

    def show(self, message: ShowChange, reply: Reply) -> None:
        """Apply a change to the visible list."""
        change = message.change
        if isinstance(change, PutHost):
            self._hosts[change.host_id] = change.fields
        else:
            self._hosts.pop(change.host_id, None)
        reply.ok()

    def hosts(self, _message: GetHosts, reply: Reply) -> None:
        """Answer with the visible hosts."""
        reply.ok(list(self._hosts.values()))

    def _show_later(self, change: PutHost | RemoveHost) -> None:
        gevent.sleep(self._lag_s)
        self._kernel.send(HOST_LIST, ShowChange(change))


def set_up(
    kernel: Kernel,
    hosts_path: pathlib.Path | None,
    lag_s: float,
) -> list[Route]:
    """Start the host list and return its routes; changes show after lag_s."""
    routes = register_faults(kernel, _SWITCHES)
    hosts = json.loads(hosts_path.read_text())['hosts'] if hosts_path else []
    service = HostListService(kernel, hosts, lag_s)
    kernel.register(
        HOST_LIST,
        {
            PutHost: service.change,
            RemoveHost: service.change,
            ShowChange: service.show,
            GetHosts: service.hosts,
        },
    )

    def get_page(_request: Request) -> Answer:
        faults = current_faults(kernel)
        gevent.sleep(faults['delay_s'])
        if faults['outage']:
            return Answer.with_error(503, 'outage')
        return Answer.with_json({'hosts': ask(kernel, HOST_LIST, GetHosts())})

    def put_page(request: Request, host_id: str) -> Answer:
        ask(kernel, HOST_LIST, PutHost(host_id, request.document()))
        return Answer.with_json({})

    def remove_page(_request: Request, host_id: str) -> Answer:
        ask(kernel, HOST_LIST, RemoveHost(host_id))
        return Answer.with_json({})

    return [
        *routes,
        ('GET', '/hosts', get_page),
        ('PUT', '/hosts/([^/]+)', put_page),
        ('DELETE', '/hosts/([^/]+)', remove_page),
    ]
