"""State machine of one claims partition, without I/O.

handle_event() takes the state, an event and the time. It updates the state,
which belongs to the caller alone, and returns the effects that the caller has
to carry out. At most one append, read or pause is in progress at any time.
"""

import types
from typing import Final

from apricotpin.components.claims import (
    command_handlers,
    effects,
    events,
    log_replies,
)
from apricotpin.components.claims.batches import start_append
from apricotpin.components.claims.state import Partition, PartitionLimits

_HANDLERS: Final = types.MappingProxyType(
    {
        events.ClaimCommand: command_handlers.on_claim,
        events.RecordCommand: command_handlers.on_record,
        events.LookupCommand: command_handlers.on_lookup,
        events.Ticked: command_handlers.on_tick,
        events.OwnershipLost: command_handlers.on_ownership_lost,
        events.Appended: log_replies.on_appended,
        events.AppendUnconfirmed: log_replies.on_append_unconfirmed,
        events.PageRead: log_replies.on_page,
        events.ReadFailed: log_replies.on_read_failed,
        events.PauseEnded: log_replies.on_pause_ended,
    }
)


def handle_event(
    partition: Partition,
    event: events.Event,
    now_s: float,
    limits: PartitionLimits,
) -> effects.Effects:
    """Update the partition and return the effects in the order to run them."""
    handler = _HANDLERS[type(event)]
    replies = handler(partition, event, now_s, limits)
    return [*replies, *_start_next_effect(partition, now_s, limits)]


def _start_next_effect(
    partition: Partition, now_s: float, limits: PartitionLimits
) -> effects.Effects:
    """Return the next append, read or pause unless one is in progress."""
    if partition.has_pending_effect:
        return []
    if not (partition.waiting or partition.batch or partition.lookups):
        return []
    partition.has_pending_effect = True
    if partition.is_stale:
        return [effects.ReadStream(partition.claim_index.next_offset)]
    if now_s < partition.next_append_s:
        return [effects.Pause(partition.next_append_s - now_s)]
    return [start_append(partition, now_s, limits)]
