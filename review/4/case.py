"""A spoiled manifest after the final fault: agents never load the version."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from standins import (  # noqa: E402
    BOUNDS, HOST, MODEL, CannotRun, Consumer, route, run_case,
)

DOWN_S = 1.0
# How long after the return of the machines requests are still sent.
WATCHED_S = 26.0
REQUESTS_PER_S = 4


def spoil(handle, fleet, state):
    """Return a handler that spoils one byte of the next manifest."""

    async def handle_spoiled(head, reader, writer):
        if not head.path.startswith('/manifest/'):
            return await handle(head, reader, writer)
        fields = fleet.origin.manifest(int(head.query['version']))
        if state['spoil_next']:
            state['spoil_next'] -= 1
            digest = fields['digests'][5]
            fields['digests'][5] = ('0' if digest[0] != '0' else '1') + digest[1:]
            fleet.record.add(
                'origin spoils one byte of the manifest that it sends: the '
                'first digit of the digest of piece 5'
            )
        else:
            fleet.record.add(
                f'origin sends the manifest of version {fields["version"]}'
            )
        return await fleet.origin.send(writer, json.dumps(fields).encode())

    return handle_spoiled


def start_all(fleet):
    fleet.start_process('side-1', 'side', 1)
    fleet.start_process('side-2', 'side', 2)
    return fleet.start_process('edge-1', 'edge', 1)


async def send_until(fleet, ip, until_s, answers):
    consumers = [Consumer(fleet, ip, HOST) for _ in range(REQUESTS_PER_S)]
    turn = 0
    while fleet.record.now_s() < until_s:
        started_s = fleet.record.now_s()
        received = await asyncio.gather(
            *(
                one.request(
                    '/plan/a', f'plan-{turn}-{place}-{started_s:.1f}', 6000,
                    'POST', b'{}',
                )
                for place, one in enumerate(consumers)
            )
        )
        answers.extend((started_s, one.status) for one in received)
        turn += 1
        await asyncio.sleep(max(0, started_s + 1 - fleet.record.now_s()))


async def play(fleet, has_trouble):
    state = {'spoil_next': 0}
    fleet.origin.handle = spoil(fleet.origin.handle, fleet, state)
    workers = [
        await fleet.add_worker(number, service='huvo11a', is_model=True)
        for number in (1, 2)
    ]
    fleet.put_config(
        [route('plan', 'streaming', 'huvo11a')],
        [fleet.model_service(), fleet.origin_service()],
    )
    ip = start_all(fleet)
    await fleet.wait_ready(ip)
    await asyncio.sleep(4)
    before = []
    await send_until(fleet, ip, fleet.record.now_s() + 4, before)
    if sum(status == 200 for _, status in before) < len(before) / 4:
        raise CannotRun('less than a quarter is served before the fault')
    fleet.store.put(
        'keyed.op', f'version/{MODEL}', {'model': MODEL, 'version': 2}
    )
    if has_trouble:
        # The final fault strikes right after the acknowledgement.
        for name in list(fleet.processes):
            fleet.signal(name, signal.SIGKILL)
            fleet.processes[name].wait()
        state['spoil_next'] = 1
        await asyncio.sleep(DOWN_S)
        start_all(fleet)
        await fleet.wait_ready(ip)
    back_s = fleet.record.now_s()
    fleet.record.add('the machines are back')
    answers = []
    await send_until(fleet, ip, back_s + WATCHED_S, answers)
    late = [
        status
        for sent_s, status in answers
        if sent_s > back_s + BOUNDS['recover_s']
    ]
    served = sum(status == 200 for status in late)
    fleet.record.add(
        f'before the fault {sum(s == 200 for _, s in before)} of '
        f'{len(before)} requests were served; of those sent later than '
        f'{BOUNDS["recover_s"]} s after the machines were back {served} of '
        f'{len(late)}; workers have versions '
        f'{[worker.version for worker in workers]}'
    )
    if served >= len(late) / 4:
        return []
    return [
        f'RECOVER: {served} of {len(late)} requests are served later than '
        f'{BOUNDS["recover_s"]} s after the machines are back'
    ]


if __name__ == '__main__':
    run_case(FOLDER, play)
