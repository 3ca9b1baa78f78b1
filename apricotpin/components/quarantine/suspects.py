"""Decide which parts of prompts are quarantined."""

from apricotpin.components.quarantine import const
from apricotpin.components.quarantine.evidence import (
    NEVER_S,
    Evidence,
    count_crashes,
    explain,
)


def quarantine_suspects(evidence: Evidence, now_s: float) -> list[str]:
    """Quarantine the parts that crash workers; return the new ones.

    Of several suspects, the one that was served least recently has caused the
    crashes, which then no longer count against the others.
    """
    found: list[str] = []
    while True:
        suspects = _select_most_suspect(evidence, now_s)
        if not suspects:
            return found
        _quarantine(evidence, suspects)
        found.extend(suspects)


def adopt_quarantine(evidence: Evidence, part: str) -> bool:
    """Quarantine a part as another host does; return whether it is new.

    The other host's word is not enough: the crashes have to be known here.
    """
    is_known = part in evidence.quarantined
    if is_known or count_crashes(evidence, part) < const.CRASHES_MIN:
        return False
    _quarantine(evidence, [part])
    return True


def find_quarantined(evidence: Evidence, parts: tuple[str, ...]) -> str:
    """Return a part that is quarantined, empty if none is."""
    return next((part for part in parts if part in evidence.quarantined), '')


def find_retry_suspect(
    evidence: Evidence,
    parts: tuple[str, ...],
    pending_s: dict[str, list[float]],
) -> str:
    """Return a part for which a request is not retried, empty if none is.

    pending_s holds the times of breaks that are not confirmed yet, by part.
    """
    for part in parts:
        crashes = count_crashes(evidence, part, tuple(pending_s.get(part, ())))
        is_served = part in evidence.served_s
        if crashes >= const.NO_RETRY_CRASHES_MIN and not is_served:
            return part
    return ''


def _select_most_suspect(evidence: Evidence, now_s: float) -> list[str]:
    counts = {
        part: count_crashes(evidence, part)
        for part in evidence.crashes
        if part not in evidence.quarantined
    }
    suspects = [
        part
        for part, crashes in counts.items()
        if crashes >= const.CRASHES_MIN
        and _has_controls(evidence, part)
        and _is_settled(evidence, part, now_s)
    ]
    if not suspects:
        return []
    most = min(_suspicion(evidence, counts, part) for part in suspects)
    alike = [
        part for part in suspects if _suspicion(evidence, counts, part) == most
    ]
    is_ambiguous = len(alike) > 1
    if is_ambiguous and counts[alike[0]] < const.AMBIGUOUS_CRASHES_MIN:
        return []
    return alike


def _suspicion(
    evidence: Evidence, counts: dict[str, int], part: str
) -> tuple[float, int]:
    return evidence.served_s.get(part, NEVER_S), -counts[part]


def _is_settled(evidence: Evidence, part: str, now_s: float) -> bool:
    """Return whether other hosts had time to say that they serve a part."""
    third_s = sorted(evidence.crashes[part].values())[const.CRASHES_MIN - 1]
    return now_s - third_s >= const.SETTLE_S


def _has_controls(evidence: Evidence, part: str) -> bool:
    """Return whether enough prompts without a part were served.

    For a part that was served before, only those since its first crash count:
    while nothing is served, the workers have failed for another reason.
    """
    since_s = NEVER_S
    if part in evidence.served_s:
        since_s = min(evidence.crashes[part].values())
    controls = [one for one in evidence.controls_s if one > since_s]
    return len(controls) >= const.CONTROLS_MIN


def _quarantine(evidence: Evidence, parts: list[str]) -> None:
    evidence.quarantined.update(parts)
    for part in parts:
        explain(evidence, evidence.crashes[part])
