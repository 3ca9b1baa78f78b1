"""A machine freezes while its agent checks the staged pieces of a version."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

from standins import (  # noqa: E402
    CHUNKS, HOST, MODEL, CannotRun, Consumer, Worker, route, run_case,
)

# sites/karatsu-hull.toml freezes side machines for 4.0 s, more than once.
FREEZE_S = 1.8
# Pieces of the check after which the machine freezes.
FREEZE_AFTER = (16, 40)
# WHOLE does not count a piece that turned bad in the last 3 s.
ALLOWED_S = 3.0


class WatchedWorker(Worker):
    """Tell when the agent has read some pieces after staging all."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.put_indexes = set()
        self.read_indexes = []
        self.checked = {count: asyncio.Event() for count in FREEZE_AFTER}

    async def stage(self, head, body, writer):
        index = int(head.query['chunk_count'])
        if head.path.startswith('/stage-put/'):
            self.put_indexes.add(index)
            self.read_indexes.clear()
        elif len(self.put_indexes) == CHUNKS:
            self.read_indexes.append(index)
            if len(self.read_indexes) in self.checked:
                self.checked[len(self.read_indexes)].set()
        # Reading a piece of 32 KiB from a busy worker takes some ms.
        await asyncio.sleep(0.004)
        return await super().stage(head, body, writer)


async def play(fleet, has_trouble):
    workers = [
        await fleet.add_worker(
            number, WatchedWorker, service='huvo11a', is_model=True
        )
        for number in (1, 2)
    ]
    target = workers[0]
    fleet.put_config(
        [route('plan', 'streaming', 'huvo11a')],
        [fleet.model_service(), fleet.origin_service()],
    )
    ip = fleet.start_process('edge-1', 'edge', 1)
    fleet.start_process('side-1', 'side', 1)
    fleet.start_process('side-2', 'side', 2)
    await fleet.wait_ready(ip)
    await asyncio.sleep(4)
    consumer = Consumer(fleet, ip, HOST)
    first = await consumer.request('/plan/a', 'before', 6000, 'POST', b'{}')
    if first.status != 200:
        raise CannotRun('the fleet does not serve before the disruption')
    fleet.store.put(
        'keyed.op', f'version/{MODEL}', {'model': MODEL, 'version': 2}
    )
    for count in FREEZE_AFTER:
        await asyncio.wait_for(target.checked[count].wait(), 20)
        if not has_trouble:
            continue
        # The machine freezes; a piece that was read already turns bad.
        fleet.signal('side-1', signal.SIGSTOP)
        await asyncio.sleep(0.05)
        if not target.rotten_since_s:
            target.rot(target.read_indexes[0])
        await asyncio.sleep(FREEZE_S)
        fleet.signal('side-1', signal.SIGCONT)
    for _ in range(100):
        if target.version == 2:
            break
        await asyncio.sleep(0.1)
    if target.version != 2:
        raise CannotRun('the worker has not been given version 2')
    # Requests show that tokens are made with the layers as they were taken.
    served_before = len(target.runs)
    consumers = [Consumer(fleet, ip, HOST) for _ in range(12)]
    for turn in range(4):
        await asyncio.gather(
            *(
                one.request(
                    '/plan/a', f'after-{turn}-{place}', 6000, 'POST', b'{}'
                )
                for place, one in enumerate(consumers)
            )
        )
    served = [
        request_id for _, request_id in target.runs[served_before:]
    ]
    fleet.record.add(f'{target.name} served with version 2: {served}')
    return [
        f'WHOLE: worker {target.name} made tokens for {served} with layer '
        f'{layer} of version 2, taken with piece {index}, which was not that '
        f'of version 2'
        + ('' if bad_s is None else f' and had turned bad {bad_s:.2f} s before')
        for layer, (index, bad_s) in target.bad_layers.items()
        if served and (bad_s is None or bad_s > ALLOWED_S)
    ]


if __name__ == '__main__':
    run_case(FOLDER, play)
