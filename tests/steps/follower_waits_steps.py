"""Steps for the waits of a follower that follow one another."""

import random

from behave import given, then
from loguru import logger

from apricotpin.components.follower import const, decisions, read_waits
from apricotpin.components.follower.events import PeerAddresses
from apricotpin.host_settings import OperatorLimits

_MS_PER_S = 1000
_OTHER_LIMIT_S = 8


@given('follower runs with contact_ms {contact:d} and drain_ms {drain:d}')
def runs_with(context, contact, drain):
    context.limits = OperatorLimits(
        config_apply_limit_s=2,
        contact_limit_s=contact / _MS_PER_S,
        drain_limit_s=drain / _MS_PER_S,
        grace_s=_OTHER_LIMIT_S,
        retry_allowance=100,
        retry_budget_ratio=0.2,
        retry_window_s=10,
        version_limit_s=_OTHER_LIMIT_S,
    )


@then("follower's read of the desired state waits {poll:g} s for a change")
def waits_for_change(context, poll):
    found = read_waits.long_poll_s(context.limits.contact_limit_s)
    assert round(found, 3) == poll, found


@then("follower's wait chains end within their limits")
def chains_end(context):
    for chain in read_waits.wait_chains(context.limits):
        waits = [f'{wait.name} {wait.longest_s} s' for wait in chain.waits]
        # The sum of binary fractions may differ in the last digit.
        assert round(chain.longest_s, 6) <= chain.limit_s, (chain.name, waits)


@then('follower logs {count:d} wait chains that exceed their limit')
def logs_chains(context, count):
    lines = []
    sink = logger.add(lambda line: lines.append(line.record['message']))
    read_waits.checked_long_poll_s(context.limits)
    logger.remove(sink)
    assert lines == ['wait_chain_exceeds_limit'] * count, lines


@given('follower knows {near:d} near and {far:d} far peers')
def knows_peers(context, near, far):
    context.peers = PeerAddresses(
        tuple(f'near {number}' for number in range(near)),
        tuple(f'far {number}' for number in range(far)),
    )


@then("follower's turn {turn:d} reads through {kinds}")
def reads_through(context, turn, kinds):
    asked = decisions.peers_to_ask(context.peers, turn, random.shuffle)
    found = [address.split()[0] for address in asked[: const.PEERS_TRIED_MAX]]
    assert ' '.join(found) == kinds.replace('none', ''), found
