"""Steps for requests beside workers whose responses do not end."""

import time

import psutil
from behave import given, then, when
from gevent import joinall, sleep, spawn

from script.platform_fleet import (
    ZONE,
    is_ready,
    make_route,
    send,
    wait_for,
)
from tests.endless_sender import EndlessSender
from tests.steps.exchange_steps import ENDLESS
from tests.steps.platform_fleet_steps import start_stand_ins
from tests.upstream_fake import open_port

_BYTES_PER_MB = 1048576
_SLOTS = 60
_POLL_S = 0.02
_PAUSE_S = 0.05
_ID = 'req-1'
_OWN = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: req-1\r\nX-Server-Seal: s\r\n'
_EVENTS = b'Content-Type: text/event-stream\r\n\r\ndata: '


def _endless(part):
    """Return the beginning and the filler of a response to the request."""
    if part == 'event':
        return _OWN + _EVENTS, b'x'
    beginning, filler = {**ENDLESS, 'short headers': (_OWN, b'a:\r\n')}[part]
    return beginning.replace(b'HTTP/1.1 200 OK\r\n', _OWN), filler


@given('a platform fleet with {count:d} workers that send endless {part}')
def start_faulty_fleet(context, count, part):
    start_stand_ins(context)
    fleet = context.fleet
    kind = 'streaming' if part == 'event' else 'idempotent'
    fleet.put_desired_state(
        routes=[
            make_route('read', 'idempotent'),
            make_route('faulty', kind, 'faulty'),
        ],
        services=[
            {'name': 'drafting', 'max_connections': 100},
            {'name': 'faulty', 'max_connections': 264},
        ],
    )
    for number in range(count):
        sender = EndlessSender(open_port(), *_endless(part))
        context.cleanups.append(sender.close)
        entry = {
            'service': 'faulty',
            'address': sender.address,
            'zone': ZONE,
            'slots': _SLOTS,
            'state': 'ready',
        }
        fleet.store.put('keyed.servers', f'faulty-{number}', entry)
    fleet.add_worker(1)
    context.ip = fleet.start('edge-1', 'edge', 1)
    wait_for(lambda: is_ready(context.ip))
    wait_for(lambda: send(context.ip, '/read/0', 'warm-up').status == 200)


class _Watch:
    """Send small requests and watch the memory of a process until the end."""

    def __init__(self, ip, process_id):
        self.peak_bytes = 0
        self.served = []
        self._ip = ip
        self._process = psutil.Process(process_id)
        self._has_ended = False
        self._greenlets = [spawn(self._watch_memory), spawn(self._send_small)]

    def end(self):
        """Wait for the last small request."""
        self._has_ended = True
        joinall(self._greenlets, raise_error=True)

    def _watch_memory(self):
        while not self._has_ended:
            used_bytes = self._process.memory_info().rss
            self.peak_bytes = max(self.peak_bytes, used_bytes)
            sleep(_POLL_S)

    def _send_small(self):
        while not self._has_ended:
            started_s = time.monotonic()
            status = send(self._ip, '/read/0', f'small-{started_s}').status
            took_s = time.monotonic() - started_s
            self.served.append((status, round(took_s, 3)))
            sleep(_PAUSE_S)


@when(
    'platform receives {count:d} requests for them at once, '
    'and small ones to others'
)
def send_to_faulty(context, count):
    process = context.fleet.processes['edge-1']
    context.watch = _Watch(context.ip, process.pid)
    requests = [
        spawn(send, context.ip, f'/faulty/{number}', _ID)
        for number in range(count)
    ]
    joinall(requests)
    context.watch.end()


@then("platform's small requests are each served within {max_s:g} s")
def small_are_served(context, max_s):
    served = context.watch.served
    late = [one for one in served if one[0] != 200 or one[1] > max_s]
    assert served and not late, served


@then("platform's entry host used at most {max_mb:d} MB of memory")
def memory_is_bounded(context, max_mb):
    found = context.watch.peak_bytes / _BYTES_PER_MB
    assert found <= max_mb, found
