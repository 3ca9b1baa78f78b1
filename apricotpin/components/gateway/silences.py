"""Decide after which silence a worker is not relied on alone."""

from apricotpin.components.gateway import const
from apricotpin.messages.desired import Route, RouteKind


def before_first_part_s(route: Route, remaining_s: float) -> float:
    """Return the limit of a silence before the first part of a response."""
    if route.kind is RouteKind.STREAM:
        goal_s = route.latency_goal_s * const.SILENCE_GOAL_FACTOR
        silence_s = max(const.FIRST_EVENT_SILENCE_TIMEOUT_S, goal_s)
        return min(remaining_s, silence_s)
    return remaining_s * const.IDEMPOTENT_SILENCE_SHARE


def between_events_s(route: Route) -> float:
    """Return the limit of a silence between two events."""
    goal_s = route.event_gap_goal_s * const.SILENCE_GOAL_FACTOR
    return max(const.EVENT_SILENCE_TIMEOUT_S, goal_s)
