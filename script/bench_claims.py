"""Measure the cost of claims against the naive version.

In the naive version each action appends two records to the log, and every node
reads all records of the fleet. The real version is measured on one
partition in simulated time with seeded arrivals, so that counts and bytes are
the same in every run; only processor time varies. Fleet figures are computed
from one partition, since partitions are independent. Each line consists of
key=value pairs.
"""

import heapq
import itertools
import json
import random
import time
import tracemalloc
import uuid

from thriftpy2.utils import serialize

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.claim_index import (
    ClaimEntry,
    ClaimIndex,
    KeyQuery,
    apply_record,
)
from apricotpin.components.claims.const import APPEND_SPACING_S
from apricotpin.components.claims.decisions import handle_event
from apricotpin.components.claims.ownership import Ownership
from apricotpin.components.claims.records import (
    Claimed,
    Ended,
    Open,
    decode,
    encode,
)
from apricotpin.components.claims.state import Partition, PartitionLimits
from apricotpin.helpers.log_client import LogPage, LogRecord
from apricotpin.helpers.wire import to_wire
from apricotpin.messages.claims import (
    Claim,
    ClaimAnswer,
    Outcome,
    Recorded,
    RecordOutcome,
)
from apricotpin.messages.hosts import Host

NODES = 390
PARTITIONS = 64
RATES_PER_S = (10, 50, 200, 800, 1700)
# Actions simulated on one partition at each rate.
ACTIONS = 2000
LOG_LATENCY_S = 0.005
EXECUTION_S = 0.05
BODY_BYTES = 512
# Headers of an HTTP request and its response, with the TCP handshake.
HTTP_OVERHEAD_BYTES = 700
# Method name, frame and TCP headers of a thrift call and its response.
THRIFT_OVERHEAD_BYTES = 240
START_S = 1_800_000_000.0
MEMORY_CLAIM_COUNT = 20_000
DIGEST = '0123456789abcdef' * 2


class Cost:
    """Count the work of the log and of the owner of a partition."""

    __slots__ = (
        'appends',
        'cpu_s',
        'granted',
        'latency_s',
        'log_bytes',
        'reads',
        'records',
    )

    def __init__(self):
        self.appends = 0
        self.reads = 0
        self.records = 0
        self.log_bytes = 0
        self.granted = 0
        self.latency_s = []
        self.cpu_s = 0


class Simulation:
    """Simulate one partition."""

    __slots__ = (
        'cost',
        'limits',
        'numbers',
        'offset',
        'owner',
        'queue',
        'record_by_request',
        'requested_s',
    )

    def __init__(self):
        self.owner = Partition('bench.0')
        self.limits = PartitionLimits(3600)
        self.queue = []
        self.numbers = itertools.count(1)
        self.record_by_request = {}
        self.requested_s = {}
        self.offset = 0
        self.cost = Cost()

    def run(self, rate_per_s, duration_s):
        """Simulate actions at a rate for a duration; return their cost."""
        generator = random.Random(1)
        now_s = START_S
        while now_s < START_S + duration_s:
            now_s += generator.expovariate(rate_per_s)
            key = _key(now_s, generator)
            attempt_id = f'{generator.getrandbits(64):016x}'
            record = Claimed(key, DIGEST, attempt_id, 'entry-17')
            self._push(now_s, (events.ClaimCommand, record))
        while self.queue:
            at_s, _number, event = heapq.heappop(self.queue)
            self._handle(event, at_s)
        return self.cost

    def _push(self, at_s, event):
        heapq.heappush(self.queue, (at_s, next(self.numbers), event))

    def _handle(self, event, now_s):
        if isinstance(event, tuple):
            event = self._command(event, now_s)
        before_s = time.process_time()
        found = handle_event(self.owner, event, now_s, self.limits)
        self.cost.cpu_s += time.process_time() - before_s
        for effect in found:
            self._run(effect, now_s)

    def _command(self, event, now_s):
        command_class, record = event
        request_id = next(self.numbers)
        digest = record.digest if command_class is events.ClaimCommand else ''
        query = KeyQuery(record.key, digest, record.attempt_id, 35)
        self.record_by_request[request_id] = record
        self.requested_s[request_id] = now_s
        return command_class(request_id, query, record, now_s + 10)

    def _run(self, effect, now_s):
        cost = self.cost
        if isinstance(effect, effects.AppendBatch):
            before_s = time.process_time()
            encoded = [encode(record) for record in effect.records]
            body = json.dumps({'records': encoded})
            cost.cpu_s += time.process_time() - before_s
            cost.appends += 1
            cost.records += len(effect.records)
            cost.log_bytes += len(body) + HTTP_OVERHEAD_BYTES
            event = events.Appended(self.offset)
            self.offset += len(effect.records)
            self._push(now_s + LOG_LATENCY_S, event)
        elif isinstance(effect, effects.ReadStream):
            cost.reads += 1
            cost.log_bytes += HTTP_OVERHEAD_BYTES
            page = LogPage([], 0, self.offset)
            self._push(now_s + LOG_LATENCY_S, events.PageRead(page))
        elif isinstance(effect, effects.Pause):
            self._push(now_s + effect.pause_s, events.PauseEnded())
        elif isinstance(effect, effects.ReplyVerdict):
            self._record_grant(effect, now_s)

    def _record_grant(self, effect, now_s):
        assert effect.verdict == 'granted', effect.verdict
        record = self.record_by_request.pop(effect.request_id)
        self.cost.granted += 1
        self.cost.latency_s.append(now_s - self.requested_s[effect.request_id])
        outcome = Outcome(200, 'application/json', bytes(BODY_BYTES))
        ended = Ended(record.key, record.attempt_id, outcome)
        self._push(now_s + EXECUTION_S, (events.RecordCommand, ended))


def _key(created_s, generator):
    number = int(created_s * 1000) << 80 | 7 << 76 | 2 << 62
    number |= generator.getrandbits(62)
    return f'{uuid.UUID(int=number)}/orders/karatsu'


def forward_bytes():
    """Return the thrift bytes of the two calls of an action."""
    text = str(uuid.UUID(int=1))
    names = ('karatsu', 'orders', text)
    outcome = Outcome(200, 'application/json', bytes(BODY_BYTES))
    messages = (
        Claim(*names, DIGEST * 2, 'entry-17', DIGEST[:16]),
        ClaimAnswer('granted'),
        RecordOutcome(*names, False, outcome, DIGEST[:16]),
        Recorded(True),
    )
    payload = sum(len(serialize(to_wire(message))) for message in messages)
    return payload + 2 * THRIFT_OVERHEAD_BYTES


def naive_bytes():
    """Return the bytes of the two log records of one action."""
    key = _key(START_S, random.Random(1))
    outcome = Outcome(200, 'application/json', bytes(BODY_BYTES))
    attempt_id = DIGEST[:16]
    records = (
        Claimed(key, DIGEST, attempt_id, 'entry-17'),
        Ended(key, attempt_id, outcome),
    )
    return sum(len(json.dumps(encode(record))) for record in records)


def partitions_of_busiest():
    """Return the number of partitions of the node that owns the most."""
    ownership = Ownership('entry-0')
    hosts = [
        Host(f'entry-{number}', role='entry', state='live', peer_address='x')
        for number in range(NODES)
    ]
    ownership.update_hosts(hosts)
    owners = [
        ownership.owner_of(f'claims-{number}') for number in range(PARTITIONS)
    ]
    return max(owners.count(owner) for owner in owners)


def measure_rate(rate_per_s, partitions_max):
    """Print the cost of claims at a rate of actions of the fleet."""
    partition_rate_per_s = rate_per_s / PARTITIONS
    duration_s = ACTIONS / partition_rate_per_s
    cost = Simulation().run(partition_rate_per_s, duration_s)
    actions = cost.granted
    appends = cost.appends * PARTITIONS / duration_s
    log_bytes = cost.log_bytes / actions
    per_action = log_bytes + 2 * forward_bytes()
    own = forward_bytes() * rate_per_s / NODES
    owner = (
        (log_bytes + forward_bytes()) * rate_per_s / PARTITIONS * partitions_max
    )
    latencies = sorted(cost.latency_s)
    print(
        f'bench=claims version=batched rate_per_s={rate_per_s}',
        f'actions_measured={actions}',
        f'appends_per_action={cost.appends / actions:.3f}',
        f'appends_per_s_fleet={appends:.0f}',
        f'records_per_append={cost.records / cost.appends:.2f}',
        f'bytes_per_action={per_action:.0f}',
        f'bytes_per_s_node_mean={per_action * rate_per_s / NODES:.0f}',
        f'bytes_per_s_node_busiest={owner + own:.0f}',
        f'owner_cpu_us_per_action={cost.cpu_s / actions * 1e6:.0f}',
        f'grant_median_s={latencies[len(latencies) // 2]:.3f}',
        f'grant_p95_s={latencies[int(len(latencies) * 0.95)]:.3f}',
    )


def measure_naive(rate_per_s):
    """Print the cost of the naive version at a rate of actions of the fleet."""
    payload = naive_bytes()
    per_action = payload * (1 + NODES) + 2 * HTTP_OVERHEAD_BYTES
    print(
        f'bench=claims version=naive rate_per_s={rate_per_s}',
        'appends_per_action=2.000',
        f'appends_per_s_fleet={2 * rate_per_s}',
        f'bytes_per_action={per_action:.0f}',
        f'bytes_per_s_node_mean={per_action * rate_per_s / NODES:.0f}',
    )


def _claim_text(generator):
    attempt_id = f'{generator.getrandbits(64):016x}'
    key = _key(START_S, generator)
    record = Claimed(key, DIGEST, attempt_id, 'entry-17', 1, 'bench.0')
    return json.dumps(encode(record))


def measure_memory():
    """Print the memory per claim and the time to apply a record at takeover."""
    generator = random.Random(2)
    texts = [_claim_text(generator) for _ in range(MEMORY_CLAIM_COUNT)]
    claim_index = ClaimIndex()
    apply_record(claim_index, 0, Open(1, 'bench.0'), START_S)
    before_s = time.process_time()
    entries = [
        LogRecord(number, 0, json.loads(text))
        for number, text in enumerate(texts)
    ]
    for entry in entries:
        apply_record(claim_index, entry.offset, decode(entry.value), START_S)
    folded_s = time.process_time() - before_s
    tracemalloc.start()
    kept = {
        decode(json.loads(text)).key: ClaimEntry(
            f'{number:032x}', f'{number:016x}', START_S + number
        )
        for number, text in enumerate(texts)
    }
    memory_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    per_claim = memory_bytes / len(kept)
    print(
        f'bench=claims memory_bytes_per_claim={per_claim:.0f}',
        f'takeover_cpu_us_per_record={folded_s / MEMORY_CLAIM_COUNT * 1e6:.1f}',
        f'claims_in_32_mb={32 * 2**20 / per_claim:.0f}',
    )


def main():
    """Print all measurements."""
    partitions_max = partitions_of_busiest()
    print(
        f'bench=claims nodes={NODES} partitions={PARTITIONS}',
        f'append_spacing_s={APPEND_SPACING_S}',
        f'log_latency_s={LOG_LATENCY_S} body_bytes={BODY_BYTES}',
        f'partitions_of_busiest_node={partitions_max}',
    )
    for rate_per_s in RATES_PER_S:
        measure_rate(rate_per_s, partitions_max)
        measure_naive(rate_per_s)
    measure_memory()


if __name__ == '__main__':
    main()
