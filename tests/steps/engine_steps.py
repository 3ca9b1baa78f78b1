"""Steps for the engine component."""

from behave import given, then, when
from result import Err, Ok

from apricotpin.components.engine import const
from apricotpin.components.engine.decisions import (
    expect_version,
    next_order,
    read_due,
    settle_order,
    settle_read,
    state_of,
)
from apricotpin.components.engine.gate import may_switch
from apricotpin.components.engine.state import Engine, Wanted
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host
from apricotpin.messages.transfers import EngineReport, EngineStepDone
from apricotpin.messages.weights import Manifest

DRAIN_S = 5
RUN_S = 60
STEP_S = 0.1
HAPPENS_S = 20
LATE_S = 0.35
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
    """Obey orders, except for what the behaviour says."""

    def __init__(self, serves, number, behaviour):
        version, _, wrong = serves.partition(' ')
        self.version = '' if version == 'nothing' else version
        self.digest = 'other' if wrong else DIGESTS.get(version, '')
        self.number = number
        self.behaviour = behaviour
        self.held = set()
        self.faults_left = 1

    def report(self, now_s):
        """Return what /status says."""
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

    def read_s(self):
        """Return how long the answer to /status takes."""
        return LATE_S if self.behaviour == 'answers reads late' else 0

    def gate_is_open(self):
        """Tell whether the gate lets the host switch."""
        return self.behaviour != 'is closed by the gate'

    def happen(self):
        """Do what the behaviour says some time after the switch."""
        if self.behaviour == 'obeys a late order of v1':
            self.version = 'v1'
            self.digest = DIGESTS['v1']
            self.number = 3
        elif self.behaviour == 'restarts after its switch':
            self.version = ''
            self.digest = ''
            self.held.clear()
            self.number = -1

    def obey(self, step, wanted):
        """Carry out an order and return its outcome."""
        if self.behaviour == 'checks numbers':
            if wanted.fencing_number < self.number:
                return self._refuse()
        if step == const.STEP_LOAD:
            if self._fault('refuses one load'):
                return self._refuse()
            self.held.add(wanted.manifest.version)
            return Ok(None)
        if self._fault('ignores one activation'):
            return Ok(None)
        if wanted.manifest.version not in self.held:
            return self._refuse()
        self.version = wanted.manifest.version
        self.digest = wanted.manifest.digest
        self.number = wanted.fencing_number
        if self._fault('loses one answer'):
            return Err(Failure(ErrorKind.ENGINE_UNAVAILABLE, 'lost'))
        return Ok(None)

    def _fault(self, behaviour):
        if self.behaviour != behaviour or not self.faults_left:
            return False
        self.faults_left -= 1
        return True

    def _refuse(self):
        return Err(Failure(ErrorKind.ENGINE_REFUSED, '409'))


@given('engine model serves "{serves}" under number {number:d} and {behaviour}')
def prepare_model(context, serves, number, behaviour):
    """Build the model of an engine."""
    context.model = EngineModel(serves, number, behaviour)


@when('engine decisions order v2 under number {number:d}')
def run_decisions(context, number):
    """Run the decisions over virtual time."""
    model = context.model
    engine = Engine(DRAIN_S, lambda: 0.5)
    expect_version(engine, Wanted(_manifest('v2'), number, [b'1']))
    context.orders = []
    context.switching_s = None
    context.activated_s = None
    context.engine = engine
    begun = None
    for tick in range(int(RUN_S / STEP_S)):
        now_s = tick * STEP_S
        if tick == int(HAPPENS_S / STEP_S):
            model.happen()
        if read_due(engine, now_s):
            due_s = now_s + model.read_s()
            begun = (due_s, engine.reads.serial, model.report(now_s))
        if begun is not None and now_s >= begun[0]:
            settle_read(engine, begun[1], Ok(begun[2]), now_s)
            begun = None
        step = next_order(engine, model.gate_is_open, now_s)
        if state_of(engine).switching and context.switching_s is None:
            context.switching_s = now_s
        if step is not None:
            context.orders.append(step)
            if step == const.STEP_ACTIVATE and context.activated_s is None:
                context.activated_s = now_s
            outcome = model.obey(step, engine.wanted)
            done = EngineStepDone(step, engine.wanted.manifest.digest, outcome)
            settle_order(engine, done, now_s)


@then('engine received the orders "{orders}"')
def check_orders(context, orders):
    """Compare the orders in their sequence."""
    assert ' '.join(context.orders) == orders, context.orders


@then('engine received the orders ""')
def check_no_orders(context):
    """Check that no order was given."""
    assert not context.orders, context.orders


@then('engine is {state} in the end')
def check_state(context, state):
    """Compare what is confirmed with what the engine serves."""
    engine = context.engine
    serves_it = context.model.digest == DIGESTS['v2']
    assert engine.confirmed == serves_it, state_of(engine).version
    assert engine.confirmed == (state == 'confirmed'), context.orders


@then(
    'engine activation came {after_s:d} s or more after switching was reported'
)
def check_drain(context, after_s):
    """Compare the times of the report and of the first activation."""
    waited_s = context.activated_s - context.switching_s
    assert waited_s + context.switching_s >= after_s, waited_s
    assert context.switching_s < context.activated_s


@given('engine gate of {count:d} hosts with fraction {fraction:g}')
def prepare_gate(context, count, fraction):
    """Build hosts in the order of their rank for v2."""
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
    """Let the first hosts serve v2 and the others v1."""
    for index, host in enumerate(context.hosts):
        host.version = 'v2' if index < confirmed else 'v1'


@then('engine gate is open for {expected:d} of the others')
def check_gate(context, expected):
    """Count the hosts that lack the version and may switch."""
    opened = 0
    for host in context.hosts:
        if host.version == 'v2':
            continue
        own = Host(
            host.host_id, service_name='svc', model='model', version='v2'
        )
        opened += may_switch(context.hosts, own, context.fraction)
    assert opened == expected, opened
