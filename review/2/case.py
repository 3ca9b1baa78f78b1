"""A full worker answers before it has read a long body, and reads on later."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from standins import (  # noqa: E402
    HOST, CannotRun, Consumer, Worker, answer, route, run_case,
)

# Within max_body_bytes of the desired state (4,194,304).
BODY_BYTES = 4190000
# Longer requests than this are rejected while the worker is full.
LONG_BYTES = 65536
# The worker reads on this long after its early answer.
READS_ON_AFTER_S = 0.5
# Links have small windows (DEPLOY.md).
RECEIVE_BUFFER_BYTES = 16384
# Deadline and time-out of sites/karatsu-hull.toml for slip-lookup.
DEADLINE_MS = 620
TIMEOUT_MS = 600


def body_of(request_id):
    unit = f'{request_id}.'.encode()
    return (unit * (BODY_BYTES // len(unit) + 1))[:BODY_BYTES]


class EarlyWorker(Worker):
    """Reject long requests before they are in, and keep the channel."""

    is_early = True
    foreign = ()

    async def serve(self, head, reader, writer):
        if head.length <= LONG_BYTES:
            return await super().serve(head, reader, writer)
        request_id = head.headers.get('x-attempt-id', '')
        own = [
            ('X-Attempt-Id', request_id),
            ('X-Not-Executed', '1'),
            ('Keep-Alive', 'timeout=5'),
        ]
        if not self.is_early:
            await reader.readexactly(head.length)
            return await answer(writer, 503, b'', own)
        self.record.add(
            f'worker={self.name} answers id={request_id} 503 X-Not-Executed '
            f'before its body of {head.length} bytes is in'
        )
        await answer(writer, 503, b'', own)
        await asyncio.sleep(READS_ON_AFTER_S)
        try:
            body = await reader.readexactly(head.length)
        except asyncio.IncompleteReadError as error:
            body = error.partial
            self.record.add(
                f'worker={self.name} the channel of id={request_id} ends '
                f'after {len(body)} bytes of the body'
            )
        expected = body_of(request_id)
        if body == expected[: len(body)]:
            return len(body) == head.length
        place = _first_difference(body, expected)
        found = body[place : place + 90]
        self.foreign = (*self.foreign, (request_id, place, found))
        self.record.add(
            f'worker={self.name} from byte {place} on of the body of '
            f'{request_id} gets other bytes: {found!r}'
        )
        return True


def _first_difference(body, expected):
    low, high = 0, len(body)
    while low < high:
        middle = (low + high) // 2
        if body[: middle + 1] == expected[: middle + 1]:
            low = middle + 1
        else:
            high = middle
    return low


async def send_orders(fleet, ip, number, answers):
    consumer = Consumer(fleet, ip, HOST)
    for turn in range(24):
        request_id = f'order-{number}-{turn}'
        answers[request_id] = await consumer.request(
            '/order/x', request_id, DEADLINE_MS, 'POST', b'one timber order'
        )
        await asyncio.sleep(0.05)


async def play(fleet, has_trouble):
    workers = [
        await fleet.add_worker(
            number, EarlyWorker, service='wuno96b', slots=6,
            receive_buffer=RECEIVE_BUFFER_BYTES,
        )
        for number in (1, 2)
    ]
    for worker in workers:
        worker.is_early = has_trouble
    fields = {'timeout_ms': TIMEOUT_MS, 'goal_ms': 150}
    fleet.put_config(
        [
            route('slip', 'idempotent', 'wuno96b', **fields),
            route(
                'order', 'non_idempotent', 'wuno96b', max_attempts=1, **fields
            ),
        ],
        [{'name': 'wuno96b', 'health_path': '/healthz', 'max_connections': 100}],
    )
    ip = fleet.start_process('edge-1', 'edge', 1)
    await fleet.wait_ready(ip)
    await asyncio.sleep(2)
    answers = {}
    orders = [
        asyncio.create_task(send_orders(fleet, ip, number, answers))
        for number in range(8)
    ]
    await asyncio.sleep(0.5)
    consumer = Consumer(fleet, ip, HOST)
    for number in range(3):
        request_id = f'long-{number}'
        await consumer.request(
            '/slip/x', request_id, DEADLINE_MS, 'POST', body_of(request_id)
        )
        await asyncio.sleep(0.3)
    await asyncio.gather(*orders)
    await asyncio.sleep(1)
    if not any(one.status == 200 for one in answers.values()):
        raise CannotRun('no order was served')
    lost = [name for name, one in answers.items() if one.status in {0, 502, 504}]
    fleet.record.add(f'orders without an answer, or with 502 or 504: {lost}')
    return [
        f'UNASKED: worker {worker.name} got other bytes where the rest of the '
        f'body of {request_id} was due, from byte {place} on: {found!r}'
        for worker in workers
        for request_id, place, found in worker.foreign
    ]


if __name__ == '__main__':
    run_case(FOLDER, play)
