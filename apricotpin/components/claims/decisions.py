"""Decisions of the owner of one partition, without I/O.

step() takes the state, an event and the time; it updates the state, which
belongs to the caller alone, and returns the effects to carry out. At most one
append, read or pause is outstanding at any time.
"""

import types
from typing import Final

from apricotpin.components.claims import asks, effects, events, log_replies
from apricotpin.components.claims.batches import start_append
from apricotpin.components.claims.state import Partition, Rules

_HANDLERS: Final = types.MappingProxyType(
    {
        events.AskClaim: asks.on_claim,
        events.AskFinal: asks.on_final,
        events.AskFind: asks.on_find,
        events.Ticked: asks.on_tick,
        events.Released: asks.on_released,
        events.Appended: log_replies.on_appended,
        events.AppendLost: log_replies.on_append_lost,
        events.PageRead: log_replies.on_page,
        events.ReadFailed: log_replies.on_read_failed,
        events.Woken: log_replies.on_woken,
    }
)


def step(
    partition: Partition,
    event: events.Event,
    now_s: float,
    rules: Rules,
) -> effects.Effects:
    """Handle an event and return the effects in the order to run them."""
    handler = _HANDLERS[type(event)]
    answers = handler(partition, event, now_s, rules)
    return [*answers, *_advance(partition, now_s, rules)]


def _advance(
    partition: Partition, now_s: float, rules: Rules
) -> effects.Effects:
    """Start the next append, read or pause unless one is outstanding."""
    if partition.busy:
        return []
    if not (partition.waiting or partition.batch or partition.finds):
        return []
    partition.busy = True
    if partition.stale:
        return [effects.ReadStream(partition.ledger.next_offset)]
    if now_s < partition.ready_s:
        return [effects.Pause(partition.ready_s - now_s)]
    return [start_append(partition, now_s, rules)]
