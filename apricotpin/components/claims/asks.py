"""Handling of asks, their deadlines and the end of ownership."""

from collections.abc import Callable
from typing import Any

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.answers import (
    age_refusal,
    found,
    is_final,
    matches,
    refused,
    unavailable,
    verdict_effect,
)
from apricotpin.components.claims.const import WAITING_MAX
from apricotpin.components.claims.ledger import verdict_in_memory
from apricotpin.components.claims.state import Partition, Rules
from apricotpin.messages import verdicts


def on_claim(
    partition: Partition,
    ask: events.AskClaim,
    now_s: float,
    rules: Rules,
) -> effects.Effects:
    """Answer from memory what needs no grant; queue the rest."""
    refusal = age_refusal(partition, ask, now_s, rules)
    if refusal:
        return [effects.Verdict(ask.ask_id, refusal)]
    verdict = verdict_in_memory(partition.ledger, ask.asked, now_s)
    # Other verdicts never become "granted" later, so memory may be behind the
    # log for them. A grant needs an append that shows nobody came before.
    if verdict not in {verdicts.ABSENT, verdicts.GRANTED}:
        return [verdict_effect(partition, ask, verdict)]
    return _enqueue(partition, ask)


def on_final(
    partition: Partition,
    ask: events.AskFinal,
    now_s: float,
    _rules: Rules,
) -> effects.Effects:
    """Queue an outcome, unless one is recorded or nothing was claimed."""
    if is_final(partition, ask):
        return [effects.Stored(ask.ask_id, matches(partition, ask))]
    ledger = partition.ledger
    up_to_date = ledger.owner == partition.owner and not partition.stale
    if up_to_date and ask.asked.key not in ledger.entries:
        return [effects.Stored(ask.ask_id, stored=False)]
    return _enqueue(partition, ask)


def _enqueue(
    partition: Partition,
    ask: events.AskClaim | events.AskFinal,
) -> effects.Effects:
    if len(partition.waiting) >= WAITING_MAX:
        return [unavailable(ask)]
    partition.waiting.append(ask)
    return []


def on_find(
    partition: Partition,
    ask: events.AskFind,
    now_s: float,
    rules: Rules,
) -> effects.Effects:
    """Answer final outcomes from memory; read the log for the rest."""
    refusal = age_refusal(partition, ask, now_s, rules)
    if refusal:
        return [effects.Verdict(ask.ask_id, refusal)]
    entry = partition.ledger.entries.get(ask.asked.key)
    if entry is not None and (entry.closed or entry.ended):
        return [found(partition, ask, now_s)]
    if len(partition.finds) >= WAITING_MAX:
        return [unavailable(ask)]
    partition.finds.append(ask)
    partition.stale = True
    return []


def on_tick(
    partition: Partition,
    _event: events.Ticked,
    now_s: float,
    _rules: Rules,
) -> effects.Effects:
    """Refuse asks whose deadline has passed."""
    late = [ask for ask in _asks(partition) if ask.deadline_s <= now_s]
    if late:
        _keep_only(partition, lambda ask: ask.deadline_s > now_s)
    return [unavailable(ask) for ask in late]


def on_released(
    partition: Partition,
    _event: events.Released,
    _now_s: float,
    _rules: Rules,
) -> effects.Effects:
    """Refuse all asks, since another host is to answer them."""
    asks = _asks(partition)
    _keep_only(partition, lambda _ask: False)
    return [refused(ask, verdicts.NOT_OWNER) for ask in asks]


def _asks(partition: Partition) -> list[Any]:
    return [*partition.batch, *partition.waiting, *partition.finds]


def _keep_only(partition: Partition, keep: Callable[[Any], bool]) -> None:
    partition.batch = list(filter(keep, partition.batch))
    partition.waiting = list(filter(keep, partition.waiting))
    partition.finds = list(filter(keep, partition.finds))
