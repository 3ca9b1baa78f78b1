"""Channels to the store go silent; a worker drains after all is calm again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from standins import (  # noqa: E402
    BOUNDS, HOST, CannotRun, Consumer, route, run_case,
)

# The worker drains this long after the channels went silent: contact_ms is
# over, so that the store is stable and the machines are in touch again.
DRAINS_AFTER_S = 3.1
# The worker ends this long after drain_ms ("a little longer").
LINGERS_S = 0.35
SLACK_S = 0.1
DEADLINE_MS = 627
CONSUMERS = 8


class SilencingProxy:
    """Forward channels to the store until they go silent.

    silence() makes the open channels silent for good, without a reset. New
    channels work.
    """

    def __init__(self, ip, port, target):
        self.ip, self.port, self._target = ip, port, target
        self.address = f'{ip}:{port}'
        self._server = None
        self._channels = []

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )

    async def stop(self):
        self._server.close()
        for channel in self._channels:
            for writer in channel['writers']:
                writer.transport.abort()

    def silence(self):
        for channel in self._channels:
            channel['is_silent'] = True
        return len(self._channels)

    async def _serve(self, reader, writer):
        to_store = await asyncio.open_connection(
            self._target.ip, self._target.port
        )
        channel = {'is_silent': False, 'writers': (writer, to_store[1])}
        self._channels.append(channel)
        await asyncio.gather(
            _forward(reader, to_store[1], channel),
            _forward(to_store[0], writer, channel),
        )


async def _forward(reader, writer, channel):
    try:
        while True:
            part = await reader.read(65536)
            if channel['is_silent']:
                continue_silent = bool(part)
                if not continue_silent:
                    return
                continue
            if not part:
                writer.close()
                return
            writer.write(part)
            await writer.drain()
    except OSError:
        writer.close()


async def send_orders(fleet, ip, number, sent_s, until):
    consumer = Consumer(fleet, ip, HOST)
    answers = []
    turn = 0
    while not until.is_set():
        request_id = f'order-{number}-{turn}'
        sent_s[request_id] = fleet.record.now_s()
        received = await consumer.request(
            '/order/x', request_id, DEADLINE_MS, 'POST', b'one timber order'
        )
        answers.append((request_id, received.status))
        turn += 1
        await asyncio.sleep(0.01)
    return answers


async def play(fleet, has_trouble):
    proxy = SilencingProxy(fleet.ip(0, 3), fleet.port, fleet.store)
    await fleet.start_server(proxy)
    workers = [
        await fleet.add_worker(number, service='wuno96b', slots=6)
        for number in (1, 2, 3)
    ]
    leaving = workers[0]
    fleet.put_config(
        [
            route(
                'order', 'non_idempotent', 'wuno96b', max_attempts=1,
                timeout_ms=600, goal_ms=152,
            ),
        ],
        [{'name': 'wuno96b', 'health_path': '/healthz', 'max_connections': 100}],
    )
    hosts = [
        fleet.start_process(
            f'edge-{number}', 'edge', number,
            platform={'address': proxy.address, 'form': 'log'},
        )
        for number in (1, 2)
    ]
    for ip in hosts:
        await fleet.wait_ready(ip)
    await asyncio.sleep(3)
    sent_s, until = {}, asyncio.Event()
    consumers = [
        asyncio.create_task(
            send_orders(fleet, hosts[number % 2], number, sent_s, until)
        )
        for number in range(CONSUMERS)
    ]
    await asyncio.sleep(1)
    if has_trouble:
        count = proxy.silence()
        fleet.record.add(f'{count} channels to the store go silent')
    await asyncio.sleep(DRAINS_AFTER_S)
    leaving.state = 'draining'
    drained_s = fleet.list_worker(leaving)
    bound_s = drained_s + BOUNDS['drain_ms'] / 1000
    await asyncio.sleep(BOUNDS['drain_ms'] / 1000 + LINGERS_S)
    fleet.record.add(f'worker={leaving.name} ends')
    await leaving.stop()
    fleet.store.put('keyed.servers', leaving.name, None)
    await asyncio.sleep(1)
    until.set()
    answers = [one for found in await asyncio.gather(*consumers) for one in found]
    if not any(status == 200 for _, status in answers):
        raise CannotRun('no order was served')
    late = [
        (round(run_s - drained_s, 2), request_id)
        for run_s, request_id in leaving.runs
        if sent_s.get(request_id, 0) > bound_s + SLACK_S
    ]
    unanswered = [name for name, status in answers if status in {0, 502, 504}]
    fleet.record.add(f'orders with 502, 504 or a closed channel: {unanswered}')
    fleet.record.add(f'orders that reached the worker late: {late}')
    if not late:
        return []
    return [
        f'DRAIN: {len(late)} orders reach worker {leaving.name} later than '
        f'{BOUNDS["drain_ms"]} ms after the store accepted that it drains, the '
        f'last one after {late[-1][0]} s'
    ]


if __name__ == '__main__':
    run_case(FOLDER, play)
