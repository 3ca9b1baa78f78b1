"""Stand-ins of the platform for the cases in review/, and a small fleet.

The store, the origin and the workers follow PROTOCOL.md. They use the standard
library only and run in the process of the case; the product's processes are
started with the command of deploy/system.toml.
"""

import asyncio
import base64
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONE = 'genkai-a'
MODEL = 'daka510000'
KEY = 'jnbanfqasnmgkcuyj8pj'
TENANT = 'bozi300'
LAYERS = 16
CHUNKS = 64
CHUNK_BYTES = 32768
# 9.9 Mbit/s.
ORIGIN_BYTES_PER_S = 1237500
# Bounds of sites/karatsu-hull.toml.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'outer_ms': 5000,
    'strict_revocation': False,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_allowance': 102,
    'recover_s': 12,
    'event_latency_ms': 120,
    'retry_after_s': 0,
    'version_ms': 8000,
    'version_all_ms': 0,
}
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class CannotRun(Exception):
    """Report that a case could not run; the script exits with 2."""


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = path.open('w', errors='backslashreplace')
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def add(self, text):
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


class Head:
    """Hold the start line and the headers of a message."""

    def __init__(self, raw):
        lines = raw.decode('latin-1').split('\r\n')
        self.start = lines[0].split(' ', 2)
        self.headers = {}
        for line in lines[1:]:
            name, separator, text = line.partition(':')
            if separator:
                self.headers[name.strip().lower()] = text.strip()

    @property
    def path(self):
        return urllib.parse.urlsplit(self.start[1]).path

    @property
    def query(self):
        parts = urllib.parse.urlsplit(self.start[1])
        return dict(urllib.parse.parse_qsl(parts.query))

    @property
    def length(self):
        return int(self.headers.get('content-length', '0'))


async def read_head(reader):
    """Return the next head, None at the end of the connection."""
    try:
        return Head(await reader.readuntil(b'\r\n\r\n'))
    except (asyncio.IncompleteReadError, OSError):
        return None


def encode_response(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} Answer']
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class HttpServer:
    """Serve HTTP/1.1 on one address; handle() answers each request."""

    def __init__(self, ip, port, receive_buffer=0):
        self.ip, self.port = ip, port
        self.address = f'{ip}:{port}'
        self._receive_buffer = receive_buffer
        self._server = None
        self.writers = set()

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._receive_buffer:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        listener.bind((self.ip, self.port))
        limit = self._receive_buffer or 65536
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=max(limit, 16384)
        )

    async def stop(self):
        """Close the listener and reset all connections, as an end does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        writer.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self.handle(head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, reader, writer):
        raise NotImplementedError


async def answer(writer, status, body=b'', headers=()):
    writer.write(encode_response(status, body, headers))
    await writer.drain()
    return True


class Store(HttpServer):
    """The platform's store with keyed topics of one partition.

    acknowledged_s holds when each record of the operator and of the workers
    was accepted, which is the acknowledgement that the rules speak of.
    """

    def __init__(self, ip, port, record):
        super().__init__(ip, port)
        self.topics = {}
        self._record = record
        self._changed = asyncio.Event()

    def put(self, topic, key, document):
        """Append a record and return the time of its acknowledgement."""
        content = b'' if document is None else json.dumps(document).encode()
        self._append(topic, key, content)
        self._record.add(
            f'store topic={topic} key={key} '
            f'{"removed" if document is None else content.decode()[:160]}'
        )
        return self._record.now_s()

    def _append(self, topic, key, content):
        self.topics.setdefault(topic, []).append((key, content))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, head, reader, writer):
        body = await reader.readexactly(head.length)
        query = head.query
        records = self.topics.setdefault(query['topic'], [])
        if head.path == '/log-append':
            record = body[4:]
            end = 1 + record[0]
            self._append(query['topic'], record[1:end].decode(), record[end:])
            fields = {'offset': len(records) - 1, 'end_offset': len(records)}
            return await answer(writer, 200, json.dumps(fields).encode())
        if head.path == '/log-newest':
            return await answer(writer, 200, _newest(records))
        offset = int(query['source'])
        deadline_s = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while len(records) <= offset and time.monotonic() < deadline_s:
            waiting = asyncio.create_task(self._changed.wait())
            await asyncio.wait(
                [waiting], timeout=max(0, deadline_s - time.monotonic())
            )
            waiting.cancel()
        parts = [struct.pack('>QQ', len(records), 0)]
        for key, content in records[offset:]:
            name = key.encode('utf-8', 'surrogateescape')
            one = bytes([len(name)]) + name + content
            parts.append(struct.pack('>I', len(one)) + one)
        return await answer(writer, 200, b''.join(parts))


def _readable(key):
    """Return a key as JSON can hold it."""
    return key.encode('utf-8', 'surrogateescape').decode('utf-8', 'replace')


def _newest(records):
    newest = {}
    for offset, (key, content) in enumerate(records):
        newest.pop(key, None)
        if content:
            newest[key] = {
                'key': _readable(key),
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
    page = {
        'items': list(newest.values()),
        'has_more': False,
        'end_offset': len(records),
    }
    return json.dumps(page).encode()


def piece_of(version, index):
    """Return the bytes of a piece of the weights."""
    seed = hashlib.sha256(f'{version}/{index}'.encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


def layer_pieces(layer):
    """Return the indexes of the pieces that a layer requires."""
    first = layer * CHUNKS // LAYERS
    return range(first, -(-(layer + 1) * CHUNKS // LAYERS))


class Origin(HttpServer):
    """The origin of weights; its link has the rate of the site file."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self._link = asyncio.Lock()

    async def send(self, writer, body):
        """Send a response; all responses share the link."""
        async with self._link:
            await asyncio.sleep(len(body) / ORIGIN_BYTES_PER_S)
        return await answer(writer, 200, body)

    def manifest(self, version):
        return {
            'model': MODEL,
            'version': version,
            'chunk_bytes': CHUNK_BYTES,
            'layers': LAYERS,
            'digests': [
                hashlib.sha256(piece_of(version, index)).hexdigest()
                for index in range(CHUNKS)
            ],
        }

    async def handle(self, head, reader, writer):
        version = int(head.query['version'])
        if head.path.startswith('/manifest/'):
            fields = self.manifest(version)
            return await self.send(writer, json.dumps(fields).encode())
        content = piece_of(version, int(head.query['chunk_count']))
        return await self.send(writer, content)


class Worker(HttpServer):
    """A worker: its entry in the store, its requests, and its weights.

    runs holds (seconds, id) of each request that it ran. Weights are taken at
    the moment at which it accepts an order, as PROTOCOL.md says.
    """

    def __init__(
        self, ip, port, name, service, record, slots=16, is_model=False,
        receive_buffer=0, work_s=0.02,
    ):
        super().__init__(ip, port, receive_buffer)
        self.name, self.service = name, service
        self.slots, self.is_model, self.work_s = slots, is_model, work_s
        self.record = record
        self.born = int(time.time() * 1000)
        self.active = 0
        self.runs = []
        self.orders = 0
        self.version = 1 if is_model else 0
        # By index: the bytes that are staged, and since when they are not
        # those of the version that they were written for.
        self.staged = {}
        self.rotten_since_s = {}
        # Layers that the last order took with bad pieces, and their reason.
        self.bad_layers = {}
        self.state = 'ready'
        if is_model:
            self.staged = {one: piece_of(1, one) for one in range(CHUNKS)}

    def entry(self):
        fields = {
            'service': self.service,
            'address': self.address,
            'zone': ZONE,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self.orders,
            'born': self.born,
        }
        return {**fields, **self._weights()}

    def rot(self, index):
        """Spoil a staged piece."""
        self.staged[index] = self.staged[index][:-1] + b'#'
        self.rotten_since_s[index] = time.monotonic()
        self.record.add(f'worker={self.name} staged piece {index} turned bad')

    def _weights(self):
        if not self.is_model:
            return {}
        return {
            'phase': 'unified',
            'models': [
                {'name': MODEL, 'version': self.version, 'adapters': []}
            ],
            'layers': [
                {'source': 0, 'to': LAYERS, 'version': self.version}
            ],
        }

    async def handle(self, head, reader, writer):
        if head.path == '/report':
            return await self._report(writer)
        if head.path.startswith('/stage-'):
            body = await reader.readexactly(head.length)
            return await self.stage(head, body, writer)
        if head.path == '/order':
            body = await reader.readexactly(head.length)
            return await self._order(json.loads(body), writer)
        return await self.serve(head, reader, writer)

    async def serve(self, head, reader, writer):
        """Run a request of a consumer."""
        await reader.readexactly(head.length)
        request_id = head.headers.get('x-attempt-id', '')
        own = [('X-Attempt-Id', request_id)]
        if head.headers.get('x-expect-instance', self.name) != self.name:
            own.append(('X-Instance-Id', self.name))
            return await answer(writer, 421, b'', own)
        if self.active >= self.slots:
            own.append(('X-Not-Executed', '1'))
            return await answer(writer, 503, b'', own)
        self.active += 1
        self.runs.append((self.record.now_s(), request_id))
        self.record.add(
            f'worker={self.name} runs id={request_id} {head.start[0]} '
            f'{head.start[1]}'
        )
        try:
            await asyncio.sleep(self.work_s)
            own.append(('X-Server-Seal', f'seal.{request_id}'))
            if self.is_model:
                return await self._stream(writer, own)
            return await answer(writer, 200, request_id.encode(), own)
        finally:
            self.active -= 1

    async def _stream(self, writer, headers):
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines.extend(f'{name}: {text}' for name, text in headers)
        lines.append(f'X-Weight-Versions: {self.version}')
        lines.append('Transfer-Encoding: chunked')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(1, 5):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def _report(self, writer):
        fields = {
            **self._weights(),
            'busy': False,
            'sequence': self.orders,
            'queued': 0,
            'active': self.active,
            'kv_used': 0,
            'kv_total': 1640000,
            'handles': 0,
            'born': self.born,
        }
        return await answer(writer, 200, json.dumps(fields).encode())

    async def stage(self, head, body, writer):
        if head.path.startswith('/stage-put/'):
            index = int(head.query['chunk_count'])
            self.staged[index] = body
            self.rotten_since_s.pop(index, None)
            return await answer(writer, 200)
        if 'chunk_count' not in head.query:
            held = json.dumps({'held': sorted(self.staged)}).encode()
            return await answer(writer, 200, held)
        content = self.staged.get(int(head.query['chunk_count']))
        if content is None:
            return await answer(writer, 404)
        return await answer(writer, 200, content)

    async def _order(self, order, writer):
        if order.get('operation') != 'start':
            return await answer(writer, 400)
        version = order['version']
        self.orders += 1
        now_s = time.monotonic()
        self.bad_layers = {}
        for layer in range(order['source'], order['to']):
            for index in layer_pieces(layer):
                if self.staged.get(index) == piece_of(version, index):
                    continue
                since_s = self.rotten_since_s.get(index)
                bad_s = None if since_s is None else now_s - since_s
                self.bad_layers[layer] = (index, bad_s)
        self.record.add(
            f'worker={self.name} accepts order start version={version} '
            f'layers={order["source"]}-{order["to"]} '
            f'bad layers={self.bad_layers or "none"} '
            '(layer: piece, seconds since it turned bad)'
        )
        self.version = version
        return await answer(writer, 202)


class Fleet:
    """Start the product's processes, and end them and the stand-ins."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = {}
        self.servers = []
        self.prefix, self.port = _free_network()
        self.store = Store(self.ip(0, 1), self.port, self.record)
        self.origin = Origin(self.ip(0, 2), self.port)
        self.config_version = 0
        self._next_worker = 0

    def ip(self, kind, number):
        return f'{self.prefix}.{kind}.{number}'

    async def start(self):
        await self.start_server(self.store)
        await self.start_server(self.origin)

    async def start_server(self, server):
        await server.start()
        self.servers.append(server)

    async def add_worker(self, number, kind=Worker, **options):
        """Start a worker on a side machine and list it in the store."""
        worker = kind(
            self.ip(1, number), self.port, f'i-{number:08x}',
            record=self.record, **options,
        )
        await self.start_server(worker)
        self.list_worker(worker)
        return worker

    def list_worker(self, worker):
        return self.store.put('keyed.servers', worker.name, worker.entry())

    def put_config(self, routes, services):
        """Write a desired state; return the time of its acknowledgement."""
        self.config_version += 3
        state = {
            'version': self.config_version,
            'routes': routes,
            'services': services,
            'limits': LIMITS,
            'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
        }
        return self.store.put('keyed.op', 'config', state)

    def model_service(self, name='huvo11a'):
        return {
            'name': name,
            'health_path': '/healthz',
            'max_connections': 264,
            'protocol': 'h1',
            'tls': False,
            'engine': {
                'slots': 16,
                'kv_capacity': 1640000,
                'layers': LAYERS,
                'chunks': CHUNKS,
                'chunk_bytes': CHUNK_BYTES,
                'models': [{'name': MODEL, 'pace': 1.0, 'warm_s': 0.3}],
            },
        }

    def origin_service(self):
        return {
            'name': 'kafi81c',
            'origin': self.origin.address,
            'zone': ZONE,
            'link_mbps': 9.9,
            'max_connections': 48,
        }

    def start_process(self, name, machine_class, number, **changes):
        """Start a process of the product; return its machine's address."""
        ip = self.ip(2 if machine_class == 'edge' else 1, number)
        settings = {
            'node_name': name,
            'role': 'entry' if machine_class == 'edge' else 'agent',
            'machine_class': machine_class,
            'serves': [machine_class],
            'ip': ip,
            'zone': ZONE,
            'region': 'genkai',
            'zones': {ZONE: 'genkai'},
            'listen': {},
            'internal_ports': [self.port + 3, self.port + 15],
            'seeds': [],
            'bootstrap': False,
            'limits': {'memory_mb': 300, 'max_fds': 4100, 'link_mbps': 1000.0},
            'bounds': BOUNDS,
            'heartbeat_ms': 1200,
            'platform': {'address': self.store.address, 'form': 'log'},
            **changes,
        }
        if machine_class == 'edge':
            settings['listen'] = {
                'frontend': f'{ip}:{self.port}',
                'ready': f'{ip}:{self.port + 1}',
            }
        else:
            settings['app'] = f'{ip}:{self.port}'
            settings['service'] = changes.get('service', 'huvo11a')
        path = self.folder / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        role = 'entry' if machine_class == 'edge' else 'agent'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles'][role]['run'].split()
        environment = {
            name_: os.environ[name_]
            for name_ in ('PATH', 'HOME', 'LANG')
            if name_ in os.environ
        }
        environment['APRICOTPIN_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdout=(self.folder / f'{name}.out').open('a'),
            stderr=subprocess.STDOUT,
        )
        self.record.add(f'started {name} on {ip}')
        return ip

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.add(f'sent {signal.Signals(number).name} to {name}')

    def output(self, name):
        return (self.folder / f'{name}.out').read_text()

    async def wait_ready(self, ip, timeout_s=20):
        """Wait until an entry host says that it is ready."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            status = await get_status(ip, self.port + 1, '/readyz')
            if status == 200:
                self.record.add(f'{ip} is ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{ip} is not ready after {timeout_s} s')

    async def close(self):
        keep = os.environ.get('KEEP_LOGS')
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for server in self.servers:
            await server.stop()
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def get_status(ip, port, path):
    """Return the status of a GET, 0 if there is no answer."""
    try:
        reader, writer = await asyncio.open_connection(ip, port)
    except OSError:
        return 0
    try:
        writer.write(f'GET {path} HTTP/1.1\r\nHost: {ip}\r\n\r\n'.encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        return 0 if head is None else int(head.start[1])
    except (TimeoutError, OSError):
        return 0
    finally:
        writer.close()


class Answer:
    """Hold what a consumer got; status 0 stands for no answer.

    is_closed: the channel ended before the answer, or within it.
    """

    is_closed = False

    def __init__(self, status=0, headers=None, body=b'', is_complete=False):
        self.status, self.headers = status, headers or {}
        self.body, self.is_complete = body, is_complete


class Consumer:
    """Send requests on a kept channel, as PROTOCOL.md lets consumers do."""

    def __init__(self, fleet, ip, host):
        self._fleet, self._ip, self._host = fleet, ip, host
        self._channel = None

    async def request(
        self, path, request_id, deadline_ms, method='GET', body=b'',
        headers=(),
    ):
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self._host}',
            f'X-Attempt-Id: {request_id}',
            f'X-Deadline-Ms: {deadline_ms}',
            f'Authorization: Token {KEY}',
        ]
        lines.extend(f'{name}: {text}' for name, text in headers)
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        encoded = '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
        record = self._fleet.record
        record.add(
            f'consumer sends id={request_id} {method} {path} '
            f'body={len(body)} deadline_ms={deadline_ms} to {self._ip}'
        )
        try:
            received = await asyncio.wait_for(
                self._exchange(encoded), deadline_ms / 1000
            )
        except TimeoutError:
            received = Answer()
        except OSError:
            received = Answer()
            received.is_closed = True
        if not received.is_complete:
            self.close()
        record.add(
            f'consumer id={request_id} gets status={received.status} '
            f'complete={received.is_complete} closed={received.is_closed} '
            f'body={len(received.body)} bytes'
        )
        return received

    def close(self):
        if self._channel is not None:
            self._channel[1].close()
            self._channel = None

    async def _exchange(self, encoded):
        if self._channel is None:
            self._channel = await asyncio.open_connection(
                self._ip, self._fleet.port
            )
        reader, writer = self._channel
        writer.write(encoded)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            received = Answer()
            received.is_closed = True
            return received
        received = Answer(int(head.start[1]), head.headers)
        try:
            received.body = await self._read_body(head, reader)
            received.is_complete = True
        except (asyncio.IncompleteReadError, OSError):
            received.is_closed = True
        if head.headers.get('connection', '').lower() == 'close':
            self.close()
        return received

    async def _read_body(self, head, reader):
        if head.headers.get('transfer-encoding', '').lower() != 'chunked':
            return await reader.readexactly(head.length)
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body


def _free_network():
    """Return a loopback prefix and a port that are free for a fleet."""
    for _ in range(50):
        prefix = f'127.{random.randrange(16, 250)}'
        port = random.randrange(20000, 30000, 20)
        try:
            for kind, number in ((0, 1), (0, 2), (1, 1), (1, 2), (2, 1)):
                for offset in (0, 1, 3, 4):
                    with socket.socket() as probe:
                        probe.bind((f'{prefix}.{kind}.{number}', port + offset))
        except OSError:
            continue
        return prefix, port
    raise CannotRun('no free network found')


def route(name, kind, service, **fields):
    """Return a route of a desired state."""
    return {
        'name': f'r-{name}',
        'hostname': 'jepu9.example',
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': 6000,
        'goal_ms': 406,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'anonymous': False,
        'sticky': True,
        'resumable': kind == 'streaming',
        'gap_target_ms': 300,
        **fields,
    }


HOST = 'jepu9.example'


def run_case(folder, play, limit_s=110):
    """Play a case; exit 1 if the rule was broken, 0 if it held, 2 otherwise.

    play(fleet, has_trouble) returns the breaks of the rule that it saw.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        fleet, breaks = asyncio.run(_play(folder, play, has_trouble, limit_s))
    except BaseException:
        # An error of the case itself, or a signal that ends it, must not count
        # as a broken rule.
        traceback.print_exc()
        sys.exit(2)
    for found in breaks or ():
        fleet.record.add(f'BROKEN {found}')
    if breaks is None:
        sys.exit(2)
    fleet.record.add('the rule was broken' if breaks else 'the rule held')
    sys.exit(1 if breaks else 0)


async def _play(folder, play, has_trouble, limit_s):
    """Return the fleet and the breaks, None if the case could not run."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    fleet = Fleet(folder)
    fleet.record.add(f'trouble={"on" if has_trouble else "off"}')
    try:
        await fleet.start()
        return fleet, await asyncio.wait_for(play(fleet, has_trouble), limit_s)
    except Exception:
        fleet.record.add(f'could not run: {traceback.format_exc()}')
        return fleet, None
    finally:
        await fleet.close()
