"""Steps for entries that vanish and return."""

from behave import given, then, when

from apricotpin.components.follower import decisions
from apricotpin.messages.upstreams import UpstreamEntry


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


@when(
    'follower hears of version {version:d} {ago:g} s after it asked '
    'for version 5',
)
def hears_of(context, version, ago):
    context.asked = decisions.is_asked(5, ago, version)


@then('follower {fate} for it')
def asks_or_not(context, fate):
    assert context.asked == (fate == 'does not ask')
