"""Steps for the engine component."""

from behave import given, then, when
from result import Err, Ok

from apricotpin.components.engine import const
from apricotpin.components.engine.decisions import (
    begin_next_order,
    begin_read_if_due,
    engine_state,
    record_order_outcome,
    record_read_outcome,
    set_target_version,
)
from apricotpin.components.engine.gate import may_switch
from apricotpin.components.engine.state import Engine, TargetVersion
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host
from apricotpin.messages.transfers import EngineReport, EngineStepDone
from apricotpin.messages.weights import Manifest

DRAIN_S = 5
RUN_S = 60
TICK_S = 0.1
FAULT_AFTER_S = 20
SLOW_READ_S = 0.35
DIGESTS = {'v1': 'digest-1', 'v2': 'digest-2'}


def _manifest(version):
    return Manifest(
        {
            'model': 'model',
            'version': version,
            'size_bytes': 1,
            'chunk_bytes': 1,
            'chunk_digests': ['chunk'],
            'digest': DIGESTS[version],
        }
    )


class EngineModel:
    """Simulate an engine that obeys orders apart from one given fault."""

    def __init__(self, serves, number, behaviour):
        version, _, wrong = serves.partition(' ')
        self.version = '' if version == 'nothing' else version
        self.digest = 'other' if wrong else DIGESTS.get(version, '')
        self.number = number
        self.behaviour = behaviour
        self.loaded_versions = set()
        self.remaining_faults = 1

    def report(self, now_s):
        """Return the report that GET /status would give."""
        busy_s = {
            'keeps one request for 2 s': 2,
            'keeps one request for ever': RUN_S,
        }.get(self.behaviour, 0)
        return EngineReport(
            {
                'model': 'model' if self.version else '',
                'version': self.version,
                'digest': self.digest,
                'fencing_number': self.number,
                'in_flight': int(now_s < busy_s),
            }
        )

    def read_duration_s(self):
        """Return how long the response to GET /status takes."""
        return SLOW_READ_S if self.behaviour == 'responds to reads late' else 0

    def gate_is_open(self):
        """Return whether the gate lets the host switch."""
        return self.behaviour != 'is closed by the gate'

    def apply_late_fault(self):
        """Apply the fault that occurs some time after the switch."""
        if self.behaviour == 'obeys a late order of v1':
            self.version = 'v1'
            self.digest = DIGESTS['v1']
            self.number = 3
        elif self.behaviour == 'restarts after its switch':
            self.version = ''
            self.digest = ''
            self.loaded_versions.clear()
            self.number = -1

    def obey(self, step, target):
        """Carry out an order and return its outcome."""
        if self.behaviour == 'checks numbers':
            if target.fencing_number < self.number:
                return self._refuse()
        if step == const.STEP_LOAD:
            if self._use_fault('refuses one load'):
                return self._refuse()
            self.loaded_versions.add(target.manifest.version)
            return Ok(None)
        if self._use_fault('ignores one activation'):
            return Ok(None)
        if target.manifest.version not in self.loaded_versions:
            return self._refuse()
        self.version = target.manifest.version
        self.digest = target.manifest.digest
        self.number = target.fencing_number
        if self._use_fault('loses one response'):
            return Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, 'lost'))
        return Ok(None)

    def _use_fault(self, behaviour):
        if self.behaviour != behaviour or not self.remaining_faults:
            return False
        self.remaining_faults -= 1
        return True

    def _refuse(self):
        return Err(Failure(ErrorKind.ENGINE_REFUSED, '409'))


@given(
    'simulated engine serves "{serves}" with fencing number {number:d} and '
    '{behaviour}'
)
def prepare_model(context, serves, number, behaviour):
    """Build the model of an engine."""
    context.model = EngineModel(serves, number, behaviour)


@when('engine decisions receive target v2 with fencing number {number:d}')
def run_decisions(context, number):
    """Run the decisions and the engine model in simulated time."""
    model = context.model
    engine = Engine(DRAIN_S, lambda: 0.5)
    set_target_version(engine, TargetVersion(_manifest('v2'), number, [b'1']))
    context.orders = []
    context.switching_s = None
    context.activated_s = None
    context.engine = engine
    read_in_flight = None
    for tick in range(int(RUN_S / TICK_S)):
        now_s = tick * TICK_S
        if tick == int(FAULT_AFTER_S / TICK_S):
            model.apply_late_fault()
        if begin_read_if_due(engine, now_s):
            due_s = now_s + model.read_duration_s()
            read_in_flight = (due_s, engine.reads.serial, model.report(now_s))
        if read_in_flight is not None and now_s >= read_in_flight[0]:
            record_read_outcome(
                engine, read_in_flight[1], Ok(read_in_flight[2]), now_s
            )
            read_in_flight = None
        step = begin_next_order(engine, model.gate_is_open, now_s)
        if engine_state(engine).switching and context.switching_s is None:
            context.switching_s = now_s
        if step is not None:
            context.orders.append(step)
            if step == const.STEP_ACTIVATE and context.activated_s is None:
                context.activated_s = now_s
            outcome = model.obey(step, engine.target)
            done = EngineStepDone(step, engine.target.manifest.digest, outcome)
            record_order_outcome(engine, done, now_s)


@then('engine received the orders "{orders}"')
def check_orders(context, orders):
    """Compare the orders and their sequence."""
    assert ' '.join(context.orders) == orders, context.orders


@then('engine received the orders ""')
def check_no_orders(context):
    """Check that the engine received no order."""
    assert not context.orders, context.orders


@then('engine is {state} in the end')
def check_state(context, state):
    """Compare the confirmed state with what the simulated engine serves."""
    engine = context.engine
    serves_it = context.model.digest == DIGESTS['v2']
    assert engine.is_confirmed == serves_it, engine_state(engine).version
    assert engine.is_confirmed == (state == 'confirmed'), context.orders


@then(
    'engine activation happened {after_s:d} s or more after switching was '
    'reported'
)
def check_drain(context, after_s):
    """Compare when switching was reported with the first activation."""
    waited_s = context.activated_s - context.switching_s
    assert waited_s + context.switching_s >= after_s, waited_s
    assert context.switching_s < context.activated_s


@given('engine switch gate of {count:d} hosts with fraction {fraction:g}')
def prepare_gate(context, count, fraction):
    """Build hosts, sorted by their rank for v2."""
    names = sorted(
        (f'host-{index}' for index in range(count)),
        key=lambda name: (rank_of('model', 'v2', name), name),
    )
    context.hosts = [
        Host(name, service_name='svc', state='live', model='model')
        for name in names
    ]
    context.fraction = fraction


@when('engine hosts ranked first have confirmed {confirmed:d}')
def confirm_hosts(context, confirmed):
    """Set v2 as the version of the first hosts and v1 of the others."""
    for index, host in enumerate(context.hosts):
        host.version = 'v2' if index < confirmed else 'v1'


@then('engine switch gate is open for {expected:d} of the others')
def check_gate(context, expected):
    """Count the hosts with another version than v2 that may switch."""
    opened = 0
    for host in context.hosts:
        if host.version == 'v2':
            continue
        own = Host(
            host.host_id, service_name='svc', model='model', version='v2'
        )
        opened += may_switch(context.hosts, own, context.fraction)
    assert opened == expected, opened
