"""Run a fleet of entry hosts, agents and stand-ins on loopback addresses.

    with Cluster(site_topology('karatsu'), [old, new]) as cluster:
        cluster.start_platform(serving=old)
        cluster.append_config(document)
        cluster.start_hosts()
        cluster.wait_ready()

Engines serve the version `serving` from the start, or none if it is None. Logs
and settings are written to a temporary directory that is removed when the
block exits, or to keep_directory, which stays.
"""

import json
import pathlib
import tempfile
from collections.abc import Sequence
from typing import Any, Final

import gevent

from apricotpin.errors import ErrorKind
from apricotpin.helpers.http import HttpRequest, send_request
from script import topology as plans
from script.processes import Process, ProcessGroup, responds_ok, wait_until
from script.standins.contents import Weights

STANDINS: Final = 'script.standins'
CONFIG_STREAM: Final = 'config'
_HTTP_TIMEOUT_S: Final = 5.0
_READY_TIMEOUT_S: Final = 30.0


class Cluster:
    """Own the processes of one topology and their files."""

    __slots__ = ('_temporary', 'directory', 'group', 'topology', 'versions')

    def __init__(
        self,
        topology: plans.Topology,
        versions: Sequence[Weights],
        keep_directory: pathlib.Path | None = None,
    ) -> None:
        self.topology = topology
        self.versions = list(versions)
        self._temporary = None
        if keep_directory is None:
            self._temporary = tempfile.TemporaryDirectory(prefix='apricotpin-')
            keep_directory = pathlib.Path(self._temporary.name)
        self.directory = keep_directory
        self.directory.mkdir(parents=True, exist_ok=True)
        self.group = ProcessGroup(self.directory)

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(self, *error: object) -> None:
        self.group.__exit__(*error)
        if self._temporary is not None:
            self._temporary.cleanup()

    def process(self, name: str) -> Process:
        """Return a process, for instance to kill or pause it.

        Valid names are each HOST_ID, upstream-HOST_ID, log, host-list, origin
        and links.
        """
        return self.group.processes[name]

    def start_platform(
        self,
        serving: Weights | None = None,
        token_s: float = 0.02,
        log_retention_s: float = 7200,
    ) -> None:
        """Start the stand-ins and wait until all of them respond."""
        link_plan_path = self._write('links', plans.link_plan_of(self.topology))
        hosts_path = self._write('hosts', plans.host_list_of(self.topology))
        versions = [weights.as_text() for weights in self.versions]
        retention = f'--retention-s={log_retention_s}'
        self._start_standin('log', plans.LOG_PORT, retention)
        self._start_standin(
            'host-list', plans.HOST_LIST_PORT, f'--hosts={hosts_path}'
        )
        self._start_standin('origin', plans.ORIGIN_PORT, *versions)
        self._start_standin('links', plans.LINKS_PORT, str(link_plan_path))
        for host in self.topology.agents:
            self._start_upstream(host, serving, token_s)
        wait_until(
            self._platform_responds,
            _READY_TIMEOUT_S,
            'all stand-ins respond',
        )

    def start_hosts(self, hosts: Sequence[plans.Host] | None = None) -> None:
        """Start the given entry hosts and agents, or all of them."""
        for host in self.topology.hosts if hosts is None else hosts:
            settings = plans.settings_of(self.topology, host)
            path = self._write(host.host_id, settings)
            arguments = ['apricotpin', host.role, '--settings', str(path)]
            self.group.start(host.host_id, arguments)

    def wait_ready(self, timeout_s: float = _READY_TIMEOUT_S) -> None:
        """Wait until all hosts are ready; raise TimeoutError otherwise."""
        for host in self.topology.hosts:
            url = f'http://{host.address(plans.ADMIN_PORT)}/healthz'

            def is_ready(health_url: str = url) -> bool:
                self.group.check_running()
                return responds_ok(health_url)

            wait_until(is_ready, timeout_s, f'{host.host_id} is ready')

    def append_config(self, publish_record: Any) -> int:
        """Append a publish record to the log and return its offset."""
        log_url = self.topology.platform_url(plans.LOG_PORT)
        url = f'{log_url}/streams/{CONFIG_STREAM}/records'
        appended = send_json('POST', url, {'records': [publish_record]})
        return int(appended['first_offset'])

    def upstream_url(self, host: plans.Host) -> str:
        """Return the URL of the upstream beside an agent."""
        return f'http://{host.address(plans.UPSTREAM_PORT)}'

    def engine_statuses(self) -> list[Any]:
        """Return the status documents of all engines, in host order."""
        return get_from_all(
            self.topology.replicas, self.upstream_url, '/status'
        )

    def _start_upstream(
        self,
        host: plans.Host,
        serving: Weights | None,
        token_s: float,
    ) -> None:
        options = [f'--service={host.service}']
        if host.model:
            options = [f'--token-s={token_s}']
            if serving is not None:
                options.append(f'--serves={serving.as_text()}')
            if not host.checks_fencing:
                options.append('--no-checks-fencing')
        name = f'upstream-{host.host_id}'
        kind = 'engine' if host.model else 'plain'
        listen = f'--listen={host.address(plans.UPSTREAM_PORT)}'
        self.group.start(name, [STANDINS, kind, listen, *options])

    def _start_standin(self, kind: str, port: int, *options: str) -> None:
        listen = f'--listen={self.topology.platform_address(port)}'
        self.group.start(kind, [STANDINS, kind, listen, *options])

    def _platform_responds(self) -> bool:
        self.group.check_running()
        ports = (
            plans.LOG_PORT,
            plans.HOST_LIST_PORT,
            plans.ORIGIN_PORT,
            plans.LINKS_PORT,
        )
        urls = [self.topology.platform_url(port) for port in ports]
        urls += [self.upstream_url(host) for host in self.topology.agents]
        return all(responds_ok(f'{url}/faults') for url in urls)

    def _write(self, name: str, document: Any) -> pathlib.Path:
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(document, indent=1))
        return path


def send_json(method: str, url: str, document: Any = None) -> Any:
    """Return the JSON document of a response.

    Raise RuntimeError without a response or with a status other than 200.
    """
    request = HttpRequest.with_json(method, url, document)
    outcome = send_request(request, _HTTP_TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE)
    if outcome.is_err():
        raise RuntimeError(outcome.err_value.detail)
    response = outcome.ok_value
    if response.status != 200:
        raise RuntimeError(
            f'{method} {url}: status {response.status}, {response.body!r}',
        )
    return response.document()


def get_from_all(hosts: Sequence[Any], url_of: Any, path: str) -> list[Any]:
    """Return the JSON documents of concurrent GET requests, in host order."""
    greenlets = [
        gevent.spawn(send_json, 'GET', f'{url_of(host)}{path}')
        for host in hosts
    ]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]
