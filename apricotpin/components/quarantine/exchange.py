"""Convert evidence to and from the form that hosts send each other."""

from apricotpin.components.quarantine import const, evidence, suspects
from apricotpin.messages.prompts import CrashEvidence, PartCrashes, PartServed

_MS_PER_S = 1000


def to_message(
    known: evidence.Evidence, now_s: float, is_urgent: bool
) -> CrashEvidence:
    """Return the evidence that weighs most, within the limits of a hello."""
    ranked = sorted(
        known.crashes,
        key=lambda part: (
            part in known.quarantined,
            part not in known.served_s,
            len(known.crashes[part]),
            max(known.crashes[part].values()),
        ),
        reverse=True,
    )
    crashes = [
        _to_crashes(
            part,
            _last_crashes(known, part, is_first=position == 0),
            now_s,
        )
        for position, part in enumerate(ranked[: const.SUSPECTS_SENT_MAX])
    ]
    contested = sorted(
        known.contested_s.keys() & known.served_s.keys(),
        key=lambda part: len(known.crashes.get(part, ())),
        reverse=True,
    )
    served = [
        PartServed(part, _age_ms(known.served_s[part], now_s))
        for part in contested[: const.SERVED_SENT_MAX]
    ]
    quarantined = [part for part in ranked if part in known.quarantined]
    return CrashEvidence(
        crashes,
        served,
        quarantined[: const.QUARANTINED_SENT_MAX],
        is_urgent,
    )


def record_message(
    known: evidence.Evidence, message: CrashEvidence, now_s: float
) -> list[str]:
    """Record the evidence of another host; return newly quarantined parts."""
    for served in message.served:
        evidence.record_served_elsewhere(
            known, served.part, now_s - served.age_ms / _MS_PER_S, now_s
        )
    for suspect in message.crashes:
        if len(suspect.part) <= const.PART_MAX_CHARS:
            _record_crashes(known, suspect, now_s)
    return [
        part
        for part in message.quarantined
        if suspects.adopt_quarantine(known, part)
    ]


def _record_crashes(
    known: evidence.Evidence, suspect: PartCrashes, now_s: float
) -> None:
    # A malformed message may hold lists of different lengths.
    for worker, age_ms in zip(suspect.workers, suspect.ages_ms, strict=False):
        crashed_s = now_s - age_ms / _MS_PER_S
        evidence.record_crash(known, suspect.part, worker, crashed_s, now_s)


def _last_crashes(
    known: evidence.Evidence, part: str, is_first: bool
) -> list[tuple[int, float]]:
    """Return the last crashes of a part, latest first.

    More are sent of the part that weighs most: if it is quarantined, these
    crashes no longer count against other parts.
    """
    limit = const.FIRST_CRASHES_SENT_MAX if is_first else const.CRASHES_SENT_MAX
    by_time = sorted(known.crashes[part].items(), key=lambda crash: -crash[1])
    return by_time[:limit]


def _to_crashes(
    part: str, crashes: list[tuple[int, float]], now_s: float
) -> PartCrashes:
    return PartCrashes(
        part,
        [worker for worker, _ in crashes],
        [_age_ms(crashed_s, now_s) for _, crashed_s in crashes],
    )


def _age_ms(time_s: float, now_s: float) -> int:
    return max(0, int((now_s - time_s) * _MS_PER_S))
