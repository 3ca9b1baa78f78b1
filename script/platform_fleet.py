"""Small fleet on loopback: product processes with the platform's stand-ins."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from http.client import HTTPConnection, HTTPException

import gevent
import yaml
from gevent.pywsgi import WSGIServer

from script.standins.platform_store import PlatformStore
from script.standins.platform_worker import PlatformOrigin, PlatformWorker
from script.standins.web import ConnectionHandler

ROOT = pathlib.Path(__file__).parent.parent
READY_TIMEOUT_S = 15.0
ZONE = 'zone-a'
_POLL_S = 0.05
OPERATOR_LIMITS = {
    'config_apply_ms': 2000,
    'contact_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'retry_allowance': 102,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'version_ms': 8000,
}
_ROUTE_KINDS = {
    'read': ('idempotent', 2, False),
    'order': ('non_idempotent', 1, False),
    'stream': ('streaming', 2, True),
}


def make_route(name, kind, service='drafting', **overrides):
    """Return a route of a desired state; overrides replace fields."""
    return {
        'name': f'r-{name}',
        'hostname': 'fleet.test',
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': 3000,
        'goal_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'resumable': False,
        **overrides,
    }


class Fleet:
    """Own the stand-ins and the product's processes of one test run."""

    def __init__(self, network_prefix):
        self.network_prefix = network_prefix
        self.store = PlatformStore()
        self.origin = PlatformOrigin()
        self.workers = {}
        self.processes = {}
        self.folder = pathlib.Path(tempfile.mkdtemp())
        # How long the desired state says that a worker takes to load weights.
        self.warm_s = 0.1
        self.keeps_files = False
        self._servers = []
        self._store_addresses = {}
        self._version = 1
        self.store_address = self._serve(
            f'{network_prefix}.0.1', 8007, self.store
        )
        self.origin_address = self._serve(
            f'{network_prefix}.0.2', 8006, self.origin
        )

    def add_worker(
        self,
        host_number,
        version=1,
        is_listed=True,
        zone=ZONE,
        make_worker=PlatformWorker,
    ):
        """Start a worker on the host address with this number."""
        name = f'worker-{host_number}'
        worker = make_worker(name, version)
        address = self._serve(
            f'{self.network_prefix}.1.{host_number}', 8001, worker
        )
        self.workers[name] = worker
        if is_listed:
            self.list_worker(name, address, zone=zone)
        return address

    def list_worker(self, name, address, **overrides):
        """Write a worker's entry to the store; overrides replace fields."""
        entry = {
            'service': 'drafting',
            'address': address,
            'zone': ZONE,
            'slots': 4,
            'state': 'ready',
            **self.workers[name].loaded_weights(),
            **overrides,
        }
        self.store.put('keyed.servers', name, entry)

    def put_desired_state(self, **overrides):
        """Write a desired state with one route of each kind to the store.

        Each call has the next version; overrides replace fields.
        """
        routes = [
            make_route(name, kind, max_attempts=attempts, resumable=resumable)
            for name, (kind, attempts, resumable) in _ROUTE_KINDS.items()
        ]
        state = {
            'version': self._version,
            'routes': routes,
            'services': [
                {
                    'name': 'drafting',
                    'max_connections': 100,
                    'engine': {
                        'slots': 4,
                        'layers': 16,
                        'chunks': 64,
                        'chunk_bytes': 1024,
                        'models': [{'name': 'm', 'warm_s': self.warm_s}],
                    },
                },
                {
                    'name': 'origin',
                    'origin': self.origin_address,
                    'zone': ZONE,
                },
            ],
            'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1']}],
            **overrides,
        }
        self._version += 1
        self.store.put('keyed.op', 'config', state)

    def store_ip(self, host_ip):
        """Return the address at which a host calls the store.

        The source address of its connections is that of all loopback clients.
        """
        _net, _first, network, host_number = host_ip.split('.')
        return f'{self.network_prefix}.{network}.{100 + int(host_number)}'

    def start(self, name, machine_class, host_number, zone=ZONE):
        """Start a process of the product and return its host address."""
        ip = (
            f'{self.network_prefix}.{2 if machine_class == "edge" else 1}.'
            f'{host_number}'
        )
        settings = {
            'node_name': name,
            'machine_class': machine_class,
            'ip': ip,
            'zone': zone,
            'region': f'region-of-{zone}',
            'zones': {zone: f'region-of-{zone}'},
            'listen': {'frontend': f'{ip}:8005', 'ready': f'{ip}:8002'},
            'internal_ports': [7700, 7715],
            'platform': {'address': self._serve_store(ip)},
            'bounds': OPERATOR_LIMITS,
            'app': f'{ip}:8001',
            'service': 'drafting',
        }
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.processes[name] = subprocess.Popen(
            [sys.executable, '-m', 'apricotpin.platform'],
            cwd=ROOT,
            env={**os.environ, 'APRICOTPIN_BOOT': str(path)},
            stdout=(self.folder / f'{name}.out').open('a'),
            stderr=subprocess.STDOUT,
        )
        return ip

    def stop(self, name):
        """Send SIGTERM to a process."""
        self.processes[name].send_signal(signal.SIGTERM)

    def output(self, name):
        """Return what a process wrote to stdout and stderr."""
        return (self.folder / f'{name}.out').read_text()

    def close(self):
        """Kill all processes, stop the stand-ins and delete their files.

        With keeps_files, the files stay.
        """
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in self._servers:
            server.stop(timeout=0)
        if not self.keeps_files:
            shutil.rmtree(self.folder)

    def _serve_store(self, host_ip):
        if host_ip not in self._store_addresses:
            self._store_addresses[host_ip] = self._serve(
                self.store_ip(host_ip), 8007, self.store
            )
        return self._store_addresses[host_ip]

    def _serve(self, ip, port, application):
        server = WSGIServer(
            (ip, port),
            application,
            log=None,
            error_log=None,
            handler_class=ConnectionHandler,
        )
        server.start()
        self._servers.append(server)
        return f'{ip}:{port}'


class Response:
    """Describe a response; body is None if it was not received completely."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def send(
    ip, path, request_id='req-1', key='key-1', method='GET', more_headers=None
):
    """Send a request to an entry host and read the entire response."""
    connection = HTTPConnection(ip, 8005, timeout=8)
    headers = {
        'Host': 'fleet.test',
        'X-Attempt-Id': request_id,
        'X-Deadline-Ms': '3000',
        'Authorization': f'Token {key}',
        **(more_headers or {}),
    }
    try:
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        body = response.read()
    except (HTTPException, OSError):
        return Response(0, {}, None)
    finally:
        connection.close()
    return Response(response.status, dict(response.getheaders()), body)


def is_ready(ip):
    """Return whether an entry host reports that it is ready."""
    connection = HTTPConnection(ip, 8002, timeout=1)
    try:
        connection.request('GET', '/readyz')
        return connection.getresponse().status == 200
    except (HTTPException, OSError):
        return False
    finally:
        connection.close()


def wait_for(condition, timeout_s=READY_TIMEOUT_S):
    """Wait until a condition holds; raise AssertionError after timeout_s."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, (
            f'condition not met within {timeout_s} s'
        )
        gevent.sleep(_POLL_S)


def log_lines(output, event):
    """Return the fields of each log line of an event."""
    matching = []
    for line in output.splitlines():
        if f'event={event} ' in line:
            fields = (part.partition('=') for part in line.split())
            matching.append({name: text for name, _, text in fields})
    return matching
