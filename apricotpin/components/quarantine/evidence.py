"""Record crashes and services of prompt parts.

A crash takes all requests on a worker with it, so each part of a request that
had not begun there is a suspect. A part is cleared of a crash when a worker
begins to respond to it later and keeps running.
"""

from collections import OrderedDict
from collections.abc import Iterable

from apricotpin.components.quarantine import const

NEVER_S = float('-inf')


class Evidence:
    """Hold crashes by part and worker, and when parts were last served.

    explained holds the crashes that a quarantined part has caused; they are no
    evidence against other parts. contested_s holds when a crash with a part
    became known that was served at some time, which other hosts may not know.
    controls_s holds when the last prompts of any kind began to be served. Times
    are on the boot-time clock.
    """

    __slots__ = (
        'contested_s',
        'controls_s',
        'crashes',
        'explained',
        'quarantined',
        'served_s',
    )

    def __init__(self) -> None:
        self.crashes: dict[str, dict[int, float]] = {}
        self.served_s: OrderedDict[str, float] = OrderedDict()
        self.contested_s: dict[str, float] = {}
        self.quarantined: set[str] = set()
        self.explained: OrderedDict[int, None] = OrderedDict()
        self.controls_s: list[float] = []


def record_crash(
    evidence: Evidence, part: str, worker: int, crashed_s: float, now_s: float
) -> None:
    """Record that a worker crashed while a prompt with a part was unserved."""
    is_explained = worker in evidence.explained
    if is_explained and part not in evidence.quarantined:
        return
    if part in evidence.served_s:
        evidence.contested_s[part] = now_s
    if evidence.served_s.get(part, NEVER_S) > crashed_s:
        return
    if part not in evidence.crashes and (
        len(evidence.crashes) >= const.SUSPECTS_MAX
    ):
        return
    workers = evidence.crashes.setdefault(part, {})
    workers[worker] = min(workers.get(worker, crashed_s), crashed_s)
    if part in evidence.quarantined:
        explain(evidence, (worker,))


def record_served(
    evidence: Evidence, parts: tuple[str, ...], served_s: float, now_s: float
) -> None:
    """Record when a prompt began to be served, which clears its parts."""
    evidence.controls_s.append(served_s)
    evidence.controls_s = evidence.controls_s[-const.CONTROLS_MIN :]
    for part in parts:
        _clear_part(evidence, part, served_s, now_s)
    while len(evidence.served_s) > const.SERVED_MAX:
        evidence.served_s.popitem(last=False)


def record_served_elsewhere(
    evidence: Evidence, part: str, served_s: float, now_s: float
) -> None:
    """Record when another host saw a part served, if it is a suspect here."""
    if part in evidence.crashes:
        _clear_part(evidence, part, served_s, now_s)


def count_crashes(
    evidence: Evidence, part: str, pending_s: tuple[float, ...] = ()
) -> int:
    """Return the crashes of a part that are apart in time.

    pending_s are the times of breaks that may turn out to be crashes.
    """
    times_s = [*evidence.crashes.get(part, {}).values(), *pending_s]
    counted, last_s = 0, NEVER_S
    for crashed_s in sorted(times_s):
        if crashed_s - last_s >= const.CRASH_SEPARATION_S:
            counted += 1
            last_s = crashed_s
    return counted


def explain(evidence: Evidence, workers: Iterable[int]) -> None:
    """Stop counting crashes against the parts that are not quarantined."""
    evidence.explained.update(dict.fromkeys(workers))
    while len(evidence.explained) > const.EXPLAINED_MAX:
        evidence.explained.popitem(last=False)
    for part in evidence.crashes.keys() - evidence.quarantined:
        _drop_explained(evidence, part)


def quarantine_ends_s(evidence: Evidence, part: str) -> float:
    """Return when the quarantine of a part ends."""
    crashed_s = max(evidence.crashes.get(part, {}).values(), default=NEVER_S)
    return crashed_s + const.QUARANTINE_S


def expire(evidence: Evidence, now_s: float) -> list[str]:
    """Drop what is too old; return the parts whose quarantine ended."""
    released = []
    for part, workers in list(evidence.crashes.items()):
        is_quarantined = part in evidence.quarantined
        keep_s = const.QUARANTINE_S if is_quarantined else const.EVIDENCE_KEEP_S
        if max(workers.values()) > now_s - keep_s:
            continue
        evidence.crashes.pop(part)
        if is_quarantined:
            evidence.quarantined.discard(part)
            released.append(part)
    evidence.contested_s = {
        contested: contested_s
        for contested, contested_s in evidence.contested_s.items()
        if contested_s > now_s - const.SERVED_SENT_S
    }
    return released


def _clear_part(
    evidence: Evidence, part: str, served_s: float, now_s: float
) -> None:
    last_s = max(evidence.served_s.pop(part, NEVER_S), served_s)
    evidence.served_s[part] = last_s
    workers = evidence.crashes.get(part)
    if workers is None:
        return
    evidence.contested_s[part] = now_s
    later = {
        worker: crashed_s
        for worker, crashed_s in workers.items()
        if crashed_s >= last_s
    }
    if later:
        evidence.crashes[part] = later
    else:
        evidence.crashes.pop(part)
        evidence.quarantined.discard(part)


def _drop_explained(evidence: Evidence, part: str) -> None:
    unexplained = {
        worker: crashed_s
        for worker, crashed_s in evidence.crashes[part].items()
        if worker not in evidence.explained
    }
    if unexplained:
        evidence.crashes[part] = unexplained
    else:
        evidence.crashes.pop(part)
