"""Stand-ins and processes for tests of commands and the control plane."""

import json
import os
import pathlib
import socket
import tempfile

from apricotpin.errors import ErrorKind
from apricotpin.helpers.http import HttpRequest, send_request
from apricotpin.helpers.log_client import LogClient
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.hosts import GetReadiness
from script.processes import ProcessGroup, wait_until

TIMEOUT_S = 30
# Below the range that the system uses for outgoing connections.
_PORTS = range(32100, 32768)


def free_ports(count):
    """Return ports that can be bound; the first depends on the process id."""
    start = os.getpid() * 31 % len(_PORTS)
    ports = (*_PORTS[start:], *_PORTS[:start])
    found = [port for port in ports if _is_free(port)]
    assert len(found) >= count, 'no free ports'
    return found[:count]


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def document(fleet):
    """Return a small valid base document."""
    return {
        'fleet': fleet,
        'services': {'advice': {'kind': 'model', 'model': 'canoe'}},
        'models': {'canoe': {'version': 'v1', 'manifest_digest': '0' * 64}},
    }


class ControlWorld:
    """Own the stand-ins of log and host list and the processes of a test."""

    def __init__(self):
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.group = ProcessGroup(self.directory)
        self.ports = iter(free_ports(32))
        self.urls = {}
        self.admin = {}
        self.peers = {}

    def start_standin(self, name, *options):
        """Start a stand-in and wait until it responds."""
        address = f'127.0.0.1:{next(self.ports)}'
        self.urls[name] = f'http://{address}'
        arguments = ['script.standins', name, '--listen', address, *options]
        self.group.start(name, arguments)
        page = '/hosts' if name == 'host-list' else '/faults'
        self.wait(lambda: self.get(self.urls[name] + page), f'{name} responds')

    def set_fault(self, name, faults):
        """Switch faults of a stand-in on or off."""
        body = json.dumps(faults).encode()
        request = HttpRequest('POST', f'{self.urls[name]}/faults', body)
        response = send_request(request, TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE)
        assert response.unwrap().status == 200, response

    def start_process(self, host_id, role, **changes):
        """Start an entry host or an agent and list it as live."""
        ports = [f'127.0.0.1:{next(self.ports)}' for _ in range(3)]
        self.peers[host_id] = ports[0]
        self.admin[host_id] = ports[1]
        settings = {
            'host_id': host_id,
            'role': role,
            'site': 'genkai',
            'region': 'r1',
            'data_centre': 'dc1',
            'peer': {'listen': ports[0]},
            'admin_listen': ports[1],
            'log_url': self.urls['log'],
            'host_list_url': self.urls['host-list'],
            **changes,
        }
        if role == 'entry':
            settings['frontend_listen'] = ports[2]
        else:
            settings.update(service='advice', upstream_address=ports[2])
        path = self.directory / f'{host_id}.json'
        path.write_text(json.dumps(settings))
        self.put_host(settings, 'live')
        arguments = ['apricotpin', role, '--settings', str(path)]
        self.group.start(host_id, arguments)

    def put_host(self, settings, state):
        """Add a host to the host list or change its entry."""
        fields = {name: settings[name] for name in ('host_id', 'role')}
        fields.update(
            region=settings['region'],
            data_centre=settings['data_centre'],
            peer_address=settings['peer']['listen'],
            upstream_address=settings.get('upstream_address', ''),
            service=settings.get('service', ''),
            state=state,
        )
        url = f'{self.urls["host-list"]}/hosts/{settings["host_id"]}'
        request = HttpRequest('PUT', url, json.dumps(fields).encode())
        send_request(request, TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE).unwrap()

    def status(self, host_id):
        """Return the status page of a process, empty without a response."""
        return self.get(f'http://{self.admin[host_id]}/status') or {}

    def field(self, host_id, service, name):
        """Return one value of a service on the status page."""
        return self.status(host_id).get(service, {}).get(name)

    def readiness(self, address):
        """Return the readiness that a process reports over thrift."""
        client = PeerClient()
        readiness = client.call(address, 'readiness', GetReadiness(), TIMEOUT_S)
        client.close()
        return readiness.unwrap()

    def get(self, url):
        """Return a JSON document, or None without a successful response."""
        request = HttpRequest('GET', url)
        response = send_request(request, 2, ErrorKind.PEER_UNAVAILABLE)
        if response.is_err() or response.ok_value.status != 200:
            return None
        return response.ok_value.document() or {'empty': True}

    def append(self, fleet, based_on):
        """Append a configuration to the log and return its offset."""
        fields = {
            'kind': 'publish',
            'id': fleet,
            'based_on': based_on,
            'base': document(fleet),
            'overlays': {},
            'author': 'test',
        }
        client = LogClient(self.urls['log'], 5)
        return client.append('config', [fields]).unwrap()

    def records(self):
        """Return the records of the configuration stream."""
        client = LogClient(self.urls['log'], 5)
        return client.read('config', 0).unwrap().records

    def wait(self, condition, description):
        """Wait for a condition; TIMEOUT_S is long enough for a busy machine."""
        wait_until(condition, TIMEOUT_S, description)

    def wait_all(self, host_ids, condition):
        """Wait until a condition holds for each host id."""

        def remaining():
            return [each for each in host_ids if not condition(each)]

        try:
            self.wait(lambda: not remaining(), 'condition')
        except TimeoutError as error:
            pages = {each: self.status(each) for each in remaining()}
            raise AssertionError(pages) from error
