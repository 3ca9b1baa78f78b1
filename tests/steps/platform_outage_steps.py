"""Steps for entry hosts after the platform's store was silent."""

import os
import time

import gevent
from behave import given, then, when

from apricotpin.components.follower import const
from apricotpin.helpers.hashing import rendezvous_order
from script.platform_fleet import OPERATOR_LIMITS, Fleet, is_ready, send
from script.platform_fleet import wait_for
from script.standins.platform_store import Outage

_WORKERS = 3
_REQUESTS = 12
# Time of a request, and of the steps between the moments that count.
_SLACK_S = 0.3
_MS_PER_S = 1000
_CALLS = {
    'all calls': lambda _addresses: {},
    'calls for the desired state': lambda _addresses: {'topics': ('keyed.op',)},
    'calls of two hosts': lambda addresses: {'addresses': addresses[:2]},
    'connections that are open then': lambda _addresses: {'only_open': True},
}


@given('a platform fleet with {count:d} entry hosts')
def start_hosts(context, count):
    # Concurrent test runs use different addresses.
    fleet = Fleet(f'127.{40 + os.getpid() % 80}')
    context.fleet = fleet
    context.cleanups = [fleet.close]
    fleet.put_desired_state()
    for worker in range(_WORKERS):
        fleet.add_worker(worker + 1)
    context.hosts = [
        fleet.start(f'edge-{number}', 'edge', number)
        for number in range(1, count + 1)
    ]
    wait_for(lambda: all(is_ready(ip) for ip in context.hosts))
    wait_for(lambda: all(_status(ip) == 200 for ip in context.hosts))
    wait_for(
        lambda: all(
            fleet.output(name).count('event=entry_host_discovered') >= count - 1
            for name in fleet.processes
        ),
    )
    # Ends the first reads, so that the next ones begin at one moment.
    fleet.put_desired_state()
    gevent.sleep(_SLACK_S)
    assert _requests_of_first_worker(context)


def _requests_of_first_worker(context):
    """Send requests to all hosts at once; return those of the first worker."""
    worker = context.fleet.workers['worker-1']
    worker.requests.clear()
    sending = [
        gevent.spawn(send, ip, f'/read/{number}', f'req-{number}')
        for number in range(_REQUESTS)
        for ip in context.hosts
    ]
    statuses = [one.get().status for one in sending]
    assert statuses == [200] * len(sending), statuses
    return worker.requests


def _status(ip):
    return send(ip, '/read/1').status


@when("platform's store is silent for {silent:g} s to {calls}")
def silence(context, silent, calls):
    if calls.endswith('byte by byte'):
        context.fleet.store.fault = 'trickle'
        gevent.sleep(silent)
        context.fleet.store.fault = ''
        context.back_s = time.monotonic()
        return
    addresses = tuple(context.fleet.store_ip(ip) for ip in context.hosts)
    outage = Outage(**_CALLS[calls](addresses))
    context.fleet.store.outages.append(outage)
    gevent.sleep(silent)
    outage.is_over = True
    context.back_s = time.monotonic()


@when("platform's store is silent to calls of the readers for good")
def silence_readers(context):
    # The fleet has one data centre.
    names = rendezvous_order('operator', list(context.fleet.processes))
    readers = names[: const.READERS_PER_DATA_CENTRE]
    addresses = tuple(
        context.fleet.store_ip(ip)
        for ip, name in zip(context.hosts, context.fleet.processes, strict=True)
        if name in readers
    )
    context.fleet.store.outages.append(Outage(addresses=addresses))


@when("{after:g} s later platform's operator removes all routes")
def remove_routes_later(context, after):
    gevent.sleep(after)
    context.fleet.put_desired_state(routes=[])
    context.back_s = time.monotonic()


@then("platform's entry hosts respond with 404 within {limit}")
def all_respond(context, limit):
    limit_s = OPERATOR_LIMITS[limit] / _MS_PER_S
    gevent.sleep(max(0, context.back_s + limit_s - time.monotonic()))
    found = [_status(ip) for ip in context.hosts]
    assert found == [404] * len(context.hosts), found


@when("platform's first worker drains {after:g} s later")
def drain_worker(context, after):
    gevent.sleep(after)
    fleet = context.fleet
    address = f'{fleet.network_prefix}.1.1:8001'
    fleet.list_worker('worker-1', address, state='draining')


@then("platform's first worker gets no request from drain_ms later on")
def gets_no_request(context):
    gevent.sleep(OPERATOR_LIMITS['drain_ms'] / _MS_PER_S)
    found = _requests_of_first_worker(context)
    assert not found, len(found)
