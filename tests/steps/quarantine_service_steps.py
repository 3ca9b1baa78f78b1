"""Steps for breaks of connections that may be crashes of workers."""

from behave import given, then, when
from gevent import sleep

from apricotpin.components import quarantine
from apricotpin.components.dispatch import health
from apricotpin.components.dispatch.upstream import Upstream
from apricotpin.const import SERVICE_DISPATCH, SERVICE_QUARANTINE
from apricotpin.core import Kernel
from apricotpin.messages.fleet import LoadReport
from apricotpin.messages.prompts import AttemptBroken, CrashEvidence
from apricotpin.messages.upstreams import (
    GetWorkerState,
    UpstreamEntry,
    WorkerState,
)

_PART = 'aaaa0001'
_STARTED_MS = 5
_SINCE_S = 100.0
_WAIT_S = 3.0


class _World:
    """Run the quarantine beside stand-ins of dispatch and presence."""

    def __init__(self, state):
        self.checks = 0
        self.told = []
        self._state = state
        self.kernel = Kernel('entry')
        self.kernel.register(SERVICE_DISPATCH, {GetWorkerState: self._check})
        self.kernel.register('watch', {CrashEvidence: self._record})
        quarantine.setup(self.kernel, None)

    def _check(self, _message, reply):
        self.checks += 1
        reply.ok(self._state)

    def _record(self, evidence, reply):
        self.told.append(evidence)
        reply.ok()


@given('quarantine runs beside a dispatch whose worker is {state}')
def run_quarantine(context, state):
    context.world = _World(WorkerState(state))
    context.cleanups = [context.world.kernel.stop]


@when('quarantine receives {breaks:d} breaks on that worker and 3 s pass')
def receive_breaks(context, breaks):
    for _ in range(breaks):
        message = AttemptBroken((_PART,), 'worker', _STARTED_MS)
        context.world.kernel.send(SERVICE_QUARANTINE, message)
    sleep(_WAIT_S)


@then('quarantine tells other hosts of {crashes:d} crashes')
def check_told(context, crashes):
    told = [
        suspect.workers
        for evidence in context.world.told[-1:]
        for suspect in evidence.crashes
    ]
    assert sum(len(workers) for workers in told) == crashes, told


@then("quarantine asked for the worker's state at most {checks:d} times")
def check_count(context, checks):
    assert 1 <= context.world.checks <= checks, context.world.checks


def _upstream(state):
    entry = UpstreamEntry(
        'worker',
        'model',
        '10.0.0.1:8001',
        'a',
        4,
        state == 'is draining',
        _STARTED_MS + (state == 'is listed with another start'),
        None,
    )
    upstream = Upstream(entry)
    upstream.availability.is_leaving = state == 'has stated that it leaves'
    upstream.report = LoadReport(
        entry.address,
        '10.0.0.1:7700',
        'a',
        'model',
        1,
        state != 'reports that it is unreachable',
        _STARTED_MS + (state == 'reports another start'),
        0,
        0,
        1,
        0,
        16,
        False,
    )
    upstream.report_received_s = _SINCE_S + 1
    if state == 'has not reported since':
        upstream.report_received_s = _SINCE_S - 1
    return upstream


@then('dispatch holds a worker that {state} to be {verdict}')
def check_state(context, state, verdict):
    upstream = None if state == 'is no longer listed' else _upstream(state)
    found = health.find_worker_state(upstream, _STARTED_MS, _SINCE_S)
    assert found.value == verdict, found
