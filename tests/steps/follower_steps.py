"""Steps for entries that vanish and return."""

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

_SETTLE_S = 0.02
_KNOWN_FOR_S = {
    'a host knowing it 3 s': 3,
    'a host not knowing when': -1,
}


def _entry(draining):
    return UpstreamEntry('w', 's', '10.0.0.1:80', 'a', 1, draining, 1, None)


@given('follower lists a {kind} worker')
def lists(context, kind):
    context.entry = _entry(kind == 'draining')
    context.listing = decisions.Listing()
    decisions.note_listed(context.listing, context.entry)


@when(
    "follower's store is away and back at {back:g} s, and the "
    'entry vanishes at {at:g} s',
)
def away_and_back(context, back, at):
    decisions.note_reachable(context.listing, False, back - 4)
    decisions.note_reachable(context.listing, True, back)
    decisions.note_vanished(context.listing, 'w', at)


@when("follower's entry vanishes at {at:g} s")
def vanishes(context, at):
    decisions.note_vanished(context.listing, 'w', at)


@when("follower's entry is back at {at:g} s")
def is_back(context, at):
    decisions.note_listed(context.listing, context.entry)


@then('follower takes the worker as {fate} at {at:g} s')
def taken_as(context, fate, at):
    decisions.take_overdue(context.listing, at)
    assert ('w' in context.listing.known) == (fate == 'there')


def _keep(context):
    def keep(message, reply):
        context.announced.append(message)
        reply.ok()

    return keep


@when('follower learns of version {version:d} from {source}')
def learns_of(context, version, source):
    if not hasattr(context, 'follower'):
        context.announced = []
        kernel = Kernel('entry')
        keep = _keep(context)
        kernel.register(
            'listener',
            {ModelVersionChanged: keep, EarlierVersionDeclared: keep},
        )
        context.cleanups = [kernel.stop]
        context.follower = FollowerService(kernel)
    known_for_s = _KNOWN_FOR_S.get(source)
    if known_for_s is not None:
        heard = DeclaredVersionReceived('m', version, known_for_s)
        context.follower.hear_target(heard, Reply())
        return
    entry = FeedEntry('version/m', ModelVersion('m', version))
    page = Ok(FeedPage([entry], 1))
    whole = source == 'a snapshot'
    context.follower.take_read(
        FeedRead(Feed.OPERATOR, page, whole, STORE, 0), Reply()
    )


@then('follower announced that {kind} {version:d} is known for {age}')
def announced_age(context, kind, version, age):
    sleep(_SETTLE_S)
    newest = context.announced[-1]
    earlier = isinstance(newest, EarlierVersionDeclared)
    assert earlier == (kind == 'earlier version'), newest
    known_for_s = newest.declared_for_s
    found = 'an unknown time' if known_for_s < 0 else f'{known_for_s:g} s'
    assert newest.target.version == version
    assert found == age, found
