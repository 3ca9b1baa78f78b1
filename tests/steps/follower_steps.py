"""Steps for entries that disappear, and for ages of versions."""

from behave import given, then, when

from gevent import sleep
from result import Ok

from apricotpin.components.follower import decisions
from apricotpin.components.follower.events import STORE, FeedRead
from apricotpin.components.follower.service import FollowerService
from apricotpin.core import Kernel, Reply
from apricotpin.messages.desired import (
    EarlierVersionDeclared,
    ModelVersion,
    ModelVersionChanged,
)
from apricotpin.messages.feeds import Feed, FeedEntry, FeedPage
from apricotpin.messages.fleet import DeclaredVersionReceived
from apricotpin.messages.upstreams import UpstreamEntry

_DELIVERY_WAIT_S = 0.02
_DECLARED_FOR_S = {
    'a host knowing it 3 s': 3,
    'a host not knowing when': -1,
}


def _entry(draining):
    return UpstreamEntry('w', 's', '10.0.0.1:80', 'a', 1, draining, 1, None)


@given('follower lists a {kind} worker')
def lists(context, kind):
    context.entry = _entry(kind == 'draining')
    context.upstream_list = decisions.UpstreamList()
    decisions.record_entry(context.upstream_list, context.entry)


@when(
    "follower's store is unreachable and back at {back:g} s, and the "
    'entry disappears at {at:g} s',
)
def lose_and_regain_store(context, back, at):
    decisions.record_reachable(context.upstream_list, False, back - 4)
    decisions.record_reachable(context.upstream_list, True, back)
    decisions.handle_removed_entry(context.upstream_list, 'w', at)


@when("follower's entry disappears at {at:g} s")
def remove_entry(context, at):
    decisions.handle_removed_entry(context.upstream_list, 'w', at)


@when("follower's entry is back at {at:g} s")
def restore_entry(context, at):
    decisions.record_entry(context.upstream_list, context.entry)


@then("follower's worker is {state} at {at:g} s")
def worker_is(context, state, at):
    decisions.remove_overdue(context.upstream_list, at)
    assert ('w' in context.upstream_list.upstreams) == (state == 'listed')


def _make_recorder(context):
    def record(message, reply):
        context.published.append(message)
        reply.ok()

    return record


@when('follower learns of version {version:d} from {source}')
def learns_of(context, version, source):
    if not hasattr(context, 'follower'):
        context.published = []
        kernel = Kernel('entry')
        record = _make_recorder(context)
        kernel.register(
            'listener',
            {ModelVersionChanged: record, EarlierVersionDeclared: record},
        )
        context.cleanups = [kernel.stop]
        context.follower = FollowerService(kernel)
    declared_for_s = _DECLARED_FOR_S.get(source)
    if declared_for_s is not None:
        message = DeclaredVersionReceived('m', version, declared_for_s)
        context.follower.record_declared_version(message, Reply())
        return
    entry = FeedEntry('version/m', ModelVersion('m', version))
    page = Ok(FeedPage([entry], 1))
    is_snapshot = source == 'a snapshot'
    context.follower.apply_read(
        FeedRead(Feed.OPERATOR, page, is_snapshot, STORE, 0), Reply()
    )


@then('follower published that {kind} {version:d} is known for {age}')
def published_age(context, kind, version, age):
    sleep(_DELIVERY_WAIT_S)
    newest = context.published[-1]
    earlier = isinstance(newest, EarlierVersionDeclared)
    assert earlier == (kind == 'earlier version'), newest
    declared_for_s = newest.declared_for_s
    found = 'an unknown time' if declared_for_s < 0 else f'{declared_for_s:g} s'
    assert newest.target.version == version
    assert found == age, found
