"""Answers to asks from the folded log."""

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.keys import created_s_of, refusal_by_age
from apricotpin.components.claims.ledger import verdict_in_memory
from apricotpin.components.claims.records import Ended
from apricotpin.components.claims.state import Partition, Rules
from apricotpin.messages import verdicts


def settled(
    partition: Partition,
    ask: events.AskClaim | events.AskFinal,
    now_s: float,
    rules: Rules,
) -> effects.Effect | None:
    """Answer an ask of the last append, or None to append it again."""
    if isinstance(ask, events.AskFinal):
        return _settled_final(partition, ask)
    if ask.deadline_s <= now_s:
        # A process that was paused must not grant to a host that gave up.
        return unavailable(ask)
    refusal = age_refusal(partition, ask, now_s, rules)
    if refusal:
        return effects.Verdict(ask.ask_id, refusal)
    verdict = verdict_in_memory(partition.ledger, ask.asked, now_s)
    if verdict == verdicts.ABSENT:
        return None
    return verdict_effect(partition, ask, verdict)


def _settled_final(
    partition: Partition,
    ask: events.AskFinal,
) -> effects.Effect | None:
    entry = partition.ledger.entries.get(ask.asked.key)
    held = entry is not None and entry.attempt_id == ask.asked.attempt_id
    if held and not is_final(partition, ask):
        return None
    return effects.Stored(ask.ask_id, matches(partition, ask))


def found(
    partition: Partition,
    ask: events.AskFind,
    now_s: float,
) -> effects.Effect:
    """Answer a question about a key from the log read to its end."""
    verdict = verdict_in_memory(partition.ledger, ask.asked, now_s)
    return verdict_effect(partition, ask, verdict)


def verdict_effect(
    partition: Partition,
    ask: events.Ask,
    verdict: str,
) -> effects.Effect:
    """Return the verdict, or the order to replay the stored outcome."""
    if verdict == verdicts.DONE:
        entry = partition.ledger.entries[ask.asked.key]
        return effects.Replay(ask.ask_id, entry.final_offset)
    return effects.Verdict(ask.ask_id, verdict)


def is_final(partition: Partition, ask: events.AskFinal) -> bool:
    """Tell whether the log holds an outcome or a closing of the key."""
    entry = partition.ledger.entries.get(ask.asked.key)
    return entry is not None and (entry.closed or entry.ended)


def matches(partition: Partition, ask: events.AskFinal) -> bool:
    """Tell whether the log holds what this attempt reports."""
    entry = partition.ledger.entries.get(ask.asked.key)
    if entry is None or entry.attempt_id not in {'', ask.asked.attempt_id}:
        return False
    return entry.ended if isinstance(ask.record, Ended) else entry.closed


def age_refusal(
    partition: Partition,
    ask: events.AskClaim | events.AskFind,
    now_s: float,
    rules: Rules,
) -> str:
    """Return the verdict that refuses the key for its age, or nothing."""
    horizon_s = partition.ledger.horizon_at(now_s, rules.key_lifetime_s)
    return refusal_by_age(created_s_of(ask.asked.key), now_s, horizon_s)


def unavailable(ask: events.Ask) -> effects.Effect:
    """Answer that the log could not be asked in time."""
    return refused(ask, verdicts.UNAVAILABLE)


def refused(ask: events.Ask, verdict: str) -> effects.Effect:
    """Answer an ask without a statement about its key."""
    if isinstance(ask, events.AskFinal):
        return effects.Stored(ask.ask_id, stored=False)
    return effects.Verdict(ask.ask_id, verdict)
