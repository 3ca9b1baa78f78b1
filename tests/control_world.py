"""Stand-ins and processes for tests of commands and the configuration."""

import json
import os
import pathlib
import socket
import tempfile

from apricotpin.errors import ErrorKind
from apricotpin.helpers.http import HttpRequest, exchange
from apricotpin.helpers.log_client import LogClient
from script.processes import ProcessGroup, wait_until

TIMEOUT_S = 30
_PORTS = range(32100, 34000)


def free_ports(count):
    """Return ports that nobody listens on, spread by process id."""
    found = []
    start = os.getpid() * 31 % len(_PORTS)
    for port in (*_PORTS[start:], *_PORTS[:start]):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if probe.connect_ex(('127.0.0.1', port)) != 0:
                found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError('no free ports')


def document(fleet):
    """Return a small valid base document."""
    return {
        'fleet': fleet,
        'services': {'advice': {'kind': 'model', 'model': 'canoe'}},
        'models': {'canoe': {'version': 'v1', 'manifest_digest': '0' * 64}},
    }


class ControlWorld:
    """Own a log, a host list and the processes of a test."""

    def __init__(self):
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.group = ProcessGroup(self.directory)
        self.ports = iter(free_ports(32))
        self.urls = {}
        self.admin = {}
        self.peers = {}

    def start_standin(self, name, *options):
        """Start a stand-in and wait until it answers."""
        address = f'127.0.0.1:{next(self.ports)}'
        self.urls[name] = f'http://{address}'
        arguments = ['script.standins', name, '--listen', address, *options]
        self.group.start(name, arguments)
        page = '/hosts' if name == 'host-list' else '/faults'
        self.wait(lambda: self.get(self.urls[name] + page), f'{name} answers')

    def set_fault(self, name, faults):
        """Switch faults of a stand-in."""
        body = json.dumps(faults).encode()
        request = HttpRequest('POST', f'{self.urls[name]}/faults', body)
        answered = exchange(request, TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE)
        assert answered.unwrap().status == 200, answered

    def start_process(self, host_id, role, **changes):
        """Start an entry host or an agent, listed as live."""
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
        """Put a host into the host list."""
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
        exchange(request, TIMEOUT_S, ErrorKind.PEER_UNAVAILABLE).unwrap()

    def status(self, host_id):
        """Return the status page of a process, empty if it does not answer."""
        return self.get(f'http://{self.admin[host_id]}/status') or {}

    def field(self, host_id, service, name):
        """Return one value of a status page."""
        return self.status(host_id).get(service, {}).get(name)

    def get(self, url):
        """Return a JSON document, or None."""
        request = HttpRequest('GET', url)
        answered = exchange(request, 2, ErrorKind.PEER_UNAVAILABLE)
        if answered.is_err() or answered.ok_value.status != 200:
            return None
        return answered.ok_value.document() or {'empty': True}

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
        """Wait for a condition, long enough for a busy machine."""
        wait_until(condition, TIMEOUT_S, description)
