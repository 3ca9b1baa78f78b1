"""Decide when a silent attempt is hedged, and what counts as attempts then."""

from apricotpin.components.gateway import const, silences
from apricotpin.components.gateway.decisions import Progress
from apricotpin.helpers.exchange import Verdict


def copy_with_open(
    progress: Progress, open_instances: tuple[str, ...]
) -> Progress:
    """Return a copy in which a silence has ended the open attempts."""
    copied = Progress(
        progress.route,
        progress.started_s,
        progress.deadline_s,
        progress.last_event_id,
    )
    copied.has_sent_events = progress.has_sent_events
    copied.may_have_run = True
    copied.retry_reason = Verdict.SILENT.value
    copied.tried = (*progress.tried, *open_instances)
    copied.sent_attempts = progress.sent_attempts + len(open_instances)
    copied.unsent_attempts = progress.unsent_attempts
    return copied


def ask_again_s(progress: Progress, now_s: float) -> float:
    """Return after which further silence to ask for another worker again."""
    if progress.has_sent_events:
        return silences.between_events_s(progress.route)
    remaining_s = max(const.MIN_TIME_LEFT_S, progress.deadline_s - now_s)
    return silences.before_first_part_s(progress.route, remaining_s)
