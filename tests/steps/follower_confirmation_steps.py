"""Steps for the age of the last proof of the newest desired state."""

from behave import given, then, when
from gevent import sleep
from loguru import logger
from result import Err, Ok

from apricotpin.components.follower import confirmation
from apricotpin.components.follower.events import (
    STORE,
    CheckConfirmation,
    FeedRead,
)
from apricotpin.components.presence.config_state import (
    ConfigState,
    find_confirmation,
)
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers import clocks
from apricotpin.messages.desired import (
    DesiredState,
    DesiredStateChanged,
    DesiredStateConfirmed,
)
from apricotpin.messages.feeds import Feed, FeedPage
from apricotpin.messages.fleet import ConfigVersionConfirmed, EntryHello
from tests.steps.routes_steps import make_state

_NOW_S = 1000.0
_MS_PER_S = 1000
_DELIVERY_WAIT_S = 0.01
_PEER = '10.0.0.9:7700'


@when("follower's read of {feed}, from {source}, {outcome}")
def read_feed(context, feed, source, outcome):
    page = Ok(FeedPage([], 1))
    if outcome == 'fails':
        page = Err(Failure(ErrorKind.LOG_UNAVAILABLE, ''))
    context.read = FeedRead(
        Feed(feed),
        page,
        outcome == 'returns a snapshot',
        STORE if source == 'the store' else _PEER,
        0,
    )


@then('follower takes it for {proof}')
def is_proof(context, proof):
    found = confirmation.is_confirmation(context.read)
    assert found == (proof == 'a proof'), proof


@given(
    "follower's host has version {version:d}, which was confirmed {age:g} s ago"
)
def host_has(context, version, age):
    context.config_state = ConfigState()
    context.config_state.version = version
    if age >= 0:
        context.config_state.confirmed_s = _NOW_S - age


@when(
    "follower's host receives a hello with version {version:d} confirmed "
    '{age:g} s ago'
)
def receives_hello(context, version, age):
    context.hello = EntryHello(
        'e',
        _PEER,
        'a',
        [],
        config_version=version,
        config_age_ms=-1 if age < 0 else int(age * 1000),
    )


@then("follower's host {passed} the confirmation")
def passes_on(context, passed):
    found = find_confirmation(context.config_state, context.hello, _NOW_S)
    assert (found is not None) == (passed == 'passes on'), found


@when('follower has no confirmation for {unconfirmed:g} s and then one')
def has_none(context, unconfirmed):
    context.events = []
    sink = logger.add(
        lambda line: context.events.append(line.record['message']),
        level='INFO',
    )
    context.cleanups = [lambda: logger.remove(sink)]
    tracker = confirmation.ConfirmationTracker(Kernel('entry'), 1.5)
    tracker.record_state(DesiredStateChanged(make_state([], [])))
    version = make_state([], []).version
    for age_s in (unconfirmed, 0):
        tracker.record_peer(
            ConfigVersionConfirmed(_PEER, version, age_s), Reply()
        )
        tracker.check(CheckConfirmation(), Reply())


@then('follower logs the events {lines}')
def logs(context, lines):
    found = ' '.join(context.events) or 'nothing'
    assert found == lines, found


@when(
    "follower's host exchanges {count:d} hellos with another one, each "
    '{late:g} s late'
)
def exchanges_hellos(context, count, late):
    configs = [context.config_state, ConfigState()]
    configs[1].version = configs[0].version
    context.config_state.confirmed_s = clocks.boot_time_s() - (
        _NOW_S - context.config_state.confirmed_s
    )
    for turn in range(count):
        sender, receiver = configs[turn % 2], configs[1 - turn % 2]
        hello = EntryHello(
            'e',
            _PEER,
            'a',
            [],
            config_version=sender.version,
            config_age_ms=sender.age_ms(),
        )
        sleep(late)
        found = find_confirmation(receiver, hello, clocks.boot_time_s())
        _track(receiver, found)


def _track(config, confirmed):
    """Handle a confirmation as the follower does, for the next hellos."""
    kernel = Kernel('entry')
    kernel.register(
        'presence',
        {DesiredStateConfirmed: config.record_confirmation},
    )
    tracker = confirmation.ConfirmationTracker(kernel, 1.5)
    tracker.record_state(
        DesiredStateChanged(DesiredState(config.version, (), (), (), None))
    )
    if confirmed is not None:
        tracker.record_peer(confirmed, Reply())
    sleep(_DELIVERY_WAIT_S)
    kernel.stop()


@then("follower's host states an age of {age:g} s or more")
def states_age(context, age):
    found = context.config_state.age_ms()
    assert found >= age * _MS_PER_S, found
