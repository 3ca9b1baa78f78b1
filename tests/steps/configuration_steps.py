"""Steps for folding, checkpoints and documents of the configuration."""

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as drawn

from apricotpin.components.configuration import const
from apricotpin.components.configuration.bundle import (
    Bundle,
    document_for_site,
)
from apricotpin.components.configuration.checkpoints import (
    RecoveryPoint,
    checkpoint_fields,
    newest_recovery_point,
)
from apricotpin.components.configuration.decisions import (
    FoldState,
    fold_page,
    fold_record,
    is_newer,
    next_read_offset,
)
from apricotpin.components.configuration.log_use import (
    LogUse,
    is_checkpoint_due,
)
from apricotpin.helpers.log_client import LogPage, LogRecord
from tests.naive.config_world import (
    STEP_MS,
    SimulatedLog,
    SimulatedProcess,
    document,
)

_NOW_MS = 10_000_000_000
_RECORD_COUNT = 3
_NAMES = ('entry-1', 'entry-2', 'entry-3')


def _bundle(name, overlays=None):
    return Bundle(document(name), overlays or {})


def _state_at(offset):
    if offset == const.NO_OFFSET:
        return FoldState()
    return FoldState(offset + 1, offset, _bundle(f'at-{offset}'))


def _checkpoint(folded):
    state = FoldState(folded, folded - 1, _bundle(f'at-{folded - 1}'))
    return checkpoint_fields(state)


def _publish(based_on, base, overlays=None):
    return {
        'kind': 'publish',
        'based_on': based_on,
        'base': base,
        'overlays': overlays or {},
    }


def _record_values(based_on):
    wrong_model = document('new')
    wrong_model['models'] = {}
    other_partitions = document('new')
    other_partitions['claims'] = {'claim_partitions': 8}
    valid = _publish(based_on, document('new'))
    return {
        'valid content': valid,
        'old record again': valid,
        'no services': _publish(based_on, {'fleet': 'new'}),
        'unknown model': _publish(based_on, wrong_model),
        'other partitions': _publish(based_on, other_partitions),
        'invalid overlay': _publish(
            based_on, document('new'), {'genkai': {'services': None}}
        ),
        'overlay as list': _publish(based_on, document('new'), {'genkai': []}),
        'base as text': _publish(based_on, 'text'),
        'text as record': 'text',
        'checkpoint': _checkpoint(5),
    }


@given('configuration in force at offset {offset:d}')
def configuration_in_force(context, offset):
    """Set the state to start from."""
    context.state = _state_at(offset)


@when('configuration folds a record based on {based_on:d} with {content}')
def configuration_folds(context, based_on, content):
    """Fold one record."""
    offset = context.state.folded_offset
    if content == 'old record again':
        offset -= 1
    record = LogRecord(offset, _NOW_MS, _record_values(based_on)[content])
    context.step = fold_record(context.state, record)


@then('configuration verdict is {verdict}')
def configuration_verdict(context, verdict):
    """Compare the verdict and the configuration in force afterwards."""
    step = context.step
    assert step.verdict == verdict, step.verdict
    accepted = step.verdict == const.VERDICT_ACCEPTED
    changed = step.state.accepted_offset != context.state.accepted_offset
    assert changed == accepted
    if not accepted:
        assert step.state.bundle is context.state.bundle


@when('configuration reads a log retained from {earliest:d} with {checkpoints}')
def configuration_reads_log(context, earliest, checkpoints):
    """Read a page without published records."""
    values = {}
    for pair in checkpoints.replace('none', '').split():
        folded, _, offset = pair.partition('@')
        values[int(offset)] = _checkpoint(int(folded))
    offsets = range(earliest, earliest + _RECORD_COUNT)
    records = [
        LogRecord(offset, _NOW_MS, values.get(offset, {'kind': 'other'}))
        for offset in offsets
    ]
    page = LogPage(records, earliest, earliest + _RECORD_COUNT)
    context.state = fold_page(context.state, page)
    context.position = next_read_offset(context.state, page, 0)


@when('configuration reads a page of records from {first:d} on')
def configuration_reads_page(context, first):
    """Read records that would each be accepted if folded next."""
    records = [
        LogRecord(
            offset,
            _NOW_MS,
            _publish(context.state.accepted_offset, document('new')),
        )
        for offset in range(first, first + _RECORD_COUNT)
    ]
    page = LogPage(records, 0, first + _RECORD_COUNT)
    context.state = fold_page(context.state, page)
    context.position = next_read_offset(context.state, page, first)


@when('configuration reads {records} in a log retained from {earliest:d}')
def configuration_sees(context, records, earliest):
    """Read a page; checkpoints are written as folded offset@offset."""
    found = []
    for pair in records.replace('first', '0@0').split():
        folded, _, offset = pair.partition('@')
        entry = _checkpoint(int(folded)) if int(folded) else {}
        found.append(LogRecord(int(offset), _NOW_MS, entry))
    context.recovery_point = newest_recovery_point(
        None, LogPage(found, earliest, 100)
    )


@when('configuration receives a state folded to {folded:d} at {accepted:d}')
def configuration_receives(context, folded, accepted):
    """Compare the state of a peer with the own one."""
    peer_state = FoldState(folded, accepted, _bundle('peer'))
    context.adopted = is_newer(peer_state, context.state)


@then('configuration state of the peer is {verdict}')
def configuration_peer_state(context, verdict):
    """Compare whether the state may be adopted."""
    assert context.adopted == (verdict == 'adopted'), context.adopted


@then('configuration recovery point is {expected}')
def configuration_recovery_point(context, expected):
    """Compare the offset from which a starting process folds."""
    recovery_point = context.recovery_point
    offset = 'missing' if recovery_point is None else str(recovery_point.offset)
    assert offset == expected, offset


@then('configuration is in force at offset {offset:d}')
def configuration_is_at(context, offset):
    """Compare the accepted offset."""
    found = context.state.accepted_offset
    assert found == offset, found


@then('configuration next reads from offset {position:d}')
def configuration_read_on(context, position):
    """Compare the position of the next read."""
    assert context.position == position, context.position


@given(
    'configuration of a {role} of rank {rank:d} with retention {retention:d} s'
)
def configuration_of_rank(context, role, rank, retention):
    """Prepare the log state of a process."""
    context.log_use = LogUse(role, retention, entry_silence_limit_s=3)
    context.log_use.checkpoint_rank = rank


@when(
    'configuration has a recovery point {age:d} s old and a log that is '
    '{reading}'
)
def configuration_has_recovery_point(context, age, reading):
    """Set the recovery point and whether the last read succeeded."""
    context.log_use.recovery_point = RecoveryPoint(
        0, _NOW_MS - age * const.MS_PER_S
    )
    context.log_use.read_failure = '' if reading == 'read' else 'outage'


@then('configuration checkpoint is {due}')
def configuration_checkpoint(context, due):
    """Compare whether a checkpoint is due."""
    found = is_checkpoint_due(context.log_use, _state_at(4), _NOW_MS)
    assert found == (due == 'due'), found


@given('configuration with overlays for {overlays}')
def configuration_with_overlays(context, overlays):
    """Build a bundle with overlays that set the fleet name."""
    sites = [] if overlays == 'nothing' else overlays.split(',')
    patches = {site: {'fleet': site} for site in sites}
    context.bundle = _bundle('base', patches)


@when('configuration is merged for site {site}')
def configuration_merged(context, site):
    """Compute the document of a site."""
    context.merged = document_for_site(context.bundle, site)


@then('configuration merge gives {result}')
def configuration_merge_gives(context, result):
    """Compare the fleet name or the error."""
    merged = context.merged
    if merged.is_ok():
        found = f'fleet {merged.ok_value.fleet}'
    else:
        found = merged.err_value.detail
    assert result in found, found


def _actions():
    process = strategies.integers(0, len(_NAMES) - 1)
    return strategies.lists(
        strategies.one_of(
            strategies.tuples(
                strategies.sampled_from(('publish', 'repeat', 'invalid')),
                strategies.integers(1, 3),
            ),
            strategies.tuples(
                strategies.sampled_from(
                    ('restart', 'suspend', 'resume', 'receive', 'partition')
                ),
                process,
            ),
            strategies.tuples(strategies.just('request'), process, process),
            strategies.tuples(strategies.just('outage'), strategies.booleans()),
            strategies.tuples(
                strategies.just('wait'), strategies.integers(5, 40)
            ),
        ),
        min_size=8,
        max_size=40,
    )


class World:
    """Simulate a log and processes, and check them after each step."""

    def __init__(self):
        self.log = SimulatedLog()
        self.processes = [SimulatedProcess(name, _NAMES) for name in _NAMES]
        self.published = 0
        self.outage_steps = 0

    def act(self, action):
        """Do one action, then advance the time by one second."""
        getattr(self, f'do_{action[0]}')(*action[1:])
        self.step()

    def do_publish(self, operators, valid=True, copies=1):
        """Let operators publish concurrently, based on the same offset."""
        accepted = self.log.naive.accepted()
        based_on = accepted[-1] if accepted else -1
        for _ in range(operators):
            self.published += 1
            base = document(f'fleet-{self.published}')
            if not valid:
                base['services'] = 'none'
            value = _publish(based_on, base)
            value['valid'] = valid
            for appended in [value] * copies:
                self.log.append(appended)

    def do_repeat(self, operators):
        """Append twice, as a publisher does after a lost reply."""
        self.do_publish(operators, copies=2)

    def do_invalid(self, operators):
        """Publish documents that no process may accept."""
        self.do_publish(operators, valid=False)

    def do_restart(self, index):
        """Restart a process."""
        self.processes[index].restart()

    def do_suspend(self, index):
        """Suspend a process after it read a page; never the first process."""
        if index:
            self.processes[index].suspend(self.log)

    def do_resume(self, index):
        """Resume a suspended process, which then folds its old page."""
        if self.processes[index].held_page is not None:
            self.processes[index].resume(self.log.now_ms)

    def do_request(self, index, other):
        """Let a process request the state of a peer."""
        self.processes[index].request_state(self.processes[other])

    def do_partition(self, index):
        """Toggle a partition of a process from the log; never the first."""
        process = self.processes[index]
        process.is_partitioned = index > 0 and not process.is_partitioned

    def do_receive(self, index):
        """Deliver the pending reply of a peer."""
        self.processes[index].receive_state()

    def do_outage(self, outage):
        """Begin or end an outage of the log."""
        self.log.outage = outage

    def do_wait(self, steps):
        """Advance the time by a number of seconds."""
        for _ in range(steps):
            self.step()

    def step(self):
        """Advance the time by one second and check every process."""
        self.outage_steps = self.outage_steps + 1 if self.log.outage else 0
        if self.outage_steps > 10:
            # Processes are only required to survive outages shorter than the
            # retention.
            self.log.outage = False
        self.log.now_ms += STEP_MS
        for process in self.processes:
            if process.held_page is None:
                process.poll(self.log)
                process.tick(self.log)
            self.check(process)

    def check(self, process):
        """Compare a process with the naive version at its folded offset."""
        state = process.state
        assert state.accepted_offset >= process.highest_accepted_offset, (
            'reverted'
        )
        process.highest_accepted_offset = state.accepted_offset
        accepted = self.log.naive.accepted(state.folded_offset)
        expected = accepted[-1] if accepted else -1
        assert state.accepted_offset == expected, (
            state.accepted_offset,
            expected,
        )
        if state.bundle is not None:
            name = self.log.naive.fleet(expected)
            assert state.bundle.base['fleet'] == name

    def settle(self):
        """End all faults and let every process read the whole log."""
        self.log.outage = False
        for index, process in enumerate(self.processes):
            self.do_resume(index)
            self.do_receive(index)
            process.is_partitioned = False
        self.do_wait(30)
        accepted = self.log.naive.accepted()
        expected = accepted[-1] if accepted else -1
        found = [each.state.accepted_offset for each in self.processes]
        assert found == [expected] * len(found), (found, expected)


@then('configuration agrees with the naive version over {count:d} random runs')
def configuration_agrees(context, count):
    """Compare with the naive version after every step."""

    expired_worlds = []

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(_actions())
    def run(actions):
        world = World()
        for action in actions:
            world.act(action)
        world.settle()
        if world.log.earliest() and world.log.naive.accepted():
            expired_worlds.append(world)

    run()
    # Checkpoints are needed only in runs in which records expired.
    assert len(expired_worlds) > count // 10, len(expired_worlds)
