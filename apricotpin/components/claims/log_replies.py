"""Handling of what the log answered."""

from typing import Final

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.answers import found, settled
from apricotpin.components.claims.ledger import Ledger, fold
from apricotpin.components.claims.records import decode
from apricotpin.components.claims.state import Partition, Rules

_MS_PER_S: Final = 1000


def on_appended(
    partition: Partition,
    event: events.Appended,
    now_s: float,
    rules: Rules,
) -> effects.Effects:
    """Fold the own batch, or order a read if it does not come next."""
    if event.first_offset != partition.ledger.next_offset:
        # Records of others lie between, or the reply is not to be trusted:
        # the log decides.
        partition.busy = False
        partition.stale = True
        return []
    partition.busy = False
    for index, record in enumerate(partition.sent):
        fold(partition.ledger, event.first_offset + index, record, now_s)
    return _settle(partition, now_s, rules)


def on_append_lost(
    partition: Partition,
    _event: events.AppendLost,
    _now_s: float,
    _rules: Rules,
) -> effects.Effects:
    """Back off; the batch may or may not be in the log."""
    return _back_off(partition)


def on_page(
    partition: Partition,
    event: events.PageRead,
    now_s: float,
    rules: Rules,
) -> effects.Effects:
    """Fold a page and settle the batch once the end is reached."""
    ledger = partition.ledger
    page = event.page
    if page.earliest_offset > ledger.next_offset:
        # Records expired unread. Claims among them belong to expired keys,
        # since the log keeps records longer than keys live; who owns the
        # partition is not known until the next open record.
        ledger = Ledger(page.earliest_offset, ledger.horizon_s)
        partition.ledger = ledger
    if page.next_offset < ledger.next_offset:
        # The log lost records that were acknowledged; nothing is granted.
        return _back_off(partition)
    before = ledger.next_offset
    for entry in page.records:
        if entry.offset == ledger.next_offset:
            appended_s = entry.appended_ms / _MS_PER_S
            fold(ledger, entry.offset, decode(entry.value), appended_s)
    if ledger.next_offset == page.next_offset:
        return _on_caught_up(partition, now_s, rules)
    if ledger.next_offset == before:
        return _back_off(partition)
    partition.busy = False
    return []


def _on_caught_up(
    partition: Partition, now_s: float, rules: Rules
) -> effects.Effects:
    partition.busy = False
    partition.stale = False
    partition.failures = 0
    finds = partition.finds
    partition.finds = []
    settled = _settle(partition, now_s, rules)
    return settled + [found(partition, ask, now_s) for ask in finds]


def on_read_failed(
    partition: Partition,
    _event: events.ReadFailed,
    _now_s: float,
    _rules: Rules,
) -> effects.Effects:
    """Back off and read again."""
    return _back_off(partition)


def _back_off(partition: Partition) -> effects.Effects:
    """Pause, then read: whether the append took effect is in the log."""
    partition.busy = True
    partition.stale = True
    partition.failures += 1
    return [effects.BackOff(partition.failures)]


def on_woken(
    partition: Partition,
    _event: events.Woken,
    _now_s: float,
    _rules: Rules,
) -> effects.Effects:
    """End a pause."""
    partition.busy = False
    return []


def _settle(
    partition: Partition, now_s: float, rules: Rules
) -> effects.Effects:
    """Answer the asks of the last append from the log read to its end.

    Asks whose records were void or did not arrive go first into the next
    append.
    """
    batch = partition.batch
    partition.batch = []
    partition.sent = []
    answers: effects.Effects = []
    again = []
    for ask in batch:
        answer = settled(partition, ask, now_s, rules)
        if answer is None:
            again.append(ask)
        else:
            answers.append(answer)
    partition.waiting = again + partition.waiting
    return answers
