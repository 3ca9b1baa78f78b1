"""Steps for prompts that crash workers, on a fleet of real processes."""

import time

from behave import given, then, when
from gevent import sleep, spawn

from script.platform_fleet import is_ready, send, wait_for

_DEADLY = 'dead0001'
_SHARED = '5c1e07a2'
# Crashes that any system needs to find the part, and the time to tell all
# hosts (contact_ms of the fleet's settings).
_CRASHES = 5
_CONTACT_S = 3.0
_SOUND_PER_DEADLY = 3
_SOUND_PARTS = 5


class _Sent:
    """Hold when a request was sent, and the status of its response."""

    def __init__(self, sent_s):
        self.sent_s = sent_s
        self.status = 0


def _is_served(ip):
    return send(ip, '/stream/0', 'warm-up').status == 200


def _start_worker(fleet, number):
    name = f'worker-{number}'
    address = fleet.add_worker(number)
    fleet.start(f'side-{number}', 'side', number)
    worker = fleet.workers[name]
    worker.crashes.deadly_parts = frozenset((_DEADLY,))
    worker.crashes.on_restart = lambda: fleet.list_worker(name, address)


@given(
    'a platform fleet with {count:d} workers, their agents and {hosts:d} '
    'entry hosts'
)
def start_fleet(context, count, hosts):
    context.execute_steps('Given a platform fleet without workers')
    fleet = context.fleet
    for worker_number in range(1, count + 1):
        _start_worker(fleet, worker_number)
    context.ips = [
        fleet.start(f'edge-{number}', 'edge', number)
        for number in range(1, hosts + 1)
    ]
    wait_for(lambda: all(is_ready(ip) for ip in context.ips))
    wait_for(lambda: all(_is_served(ip) for ip in context.ips))
    # Reports of all agents have to reach the hosts.
    sleep(1)


def _send(ip, sent, request_id, parts):
    prefix = ','.join(f'{part}:100' for part in parts)
    response = send(
        ip,
        '/stream/1',
        request_id,
        method='POST',
        more_headers={'X-Prompt-Prefix': prefix},
    )
    sent.status = 0 if response.body is None else response.status


@when(
    'platform receives {count:d} requests with a part that crashes workers, '
    'one every {gap:g} s beside sound ones'
)
def receive_requests(context, count, gap):
    context.sound = []
    running = []
    for number in range(count * (_SOUND_PER_DEADLY + 1)):
        ip = context.ips[number // 2 % len(context.ips)]
        part = f'f00d{number % _SOUND_PARTS:04}'
        if not number % (_SOUND_PER_DEADLY + 1):
            part = _DEADLY
        parts = (_SHARED, part, f'{number:08x}')
        sent = _Sent(time.monotonic())
        if part != _DEADLY:
            context.sound.append(sent)
        running.append(spawn(_send, ip, sent, f'req-{number}', parts))
        sleep(gap / (_SOUND_PER_DEADLY + 1))
    for request in running:
        request.join()


def _told_s(context):
    """Return when all hosts have had the time to learn of the part."""
    crashes = sorted(
        crash_s
        for worker in context.fleet.workers.values()
        for crash_s in worker.crashes.times_s
    )
    return crashes[:_CRASHES][-1] + _CONTACT_S


@then(
    "no more than {count:d} of them reach platform's workers later than "
    '{after:g} s after the fifth crash'
)
def few_reach_workers(context, count, after):
    assert after == _CONTACT_S
    told_s = _told_s(context)
    late = [
        arrived_s - told_s
        for worker in context.fleet.workers.values()
        for arrived_s in worker.crashes.arrivals_s
        if arrived_s > told_s
    ]
    assert len(late) <= count, late


@then(
    'platform responds to at least {percent:d} in 100 sound requests after '
    'that with 200'
)
def sound_are_served(context, percent):
    told_s = _told_s(context)
    statuses = [one.status for one in context.sound if one.sent_s > told_s]
    assert statuses
    served = statuses.count(200)
    assert served * 100 >= percent * len(statuses), statuses
