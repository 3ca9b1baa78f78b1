"""Steps for the resolution of requests by the routes component."""

from behave import then, when

from apricotpin.components.routes import decisions
from apricotpin.messages.desired import (
    CallerLimits,
    DesiredState,
    Route,
    RouteKind,
    TrafficSplit,
    Workspace,
)
from apricotpin.messages.requests import ResolveRequest


def make_route(
    prefix='/x/',
    service='plain',
    kind=RouteKind.IDEMPOTENT,
    priority=3,
    anonymous=False,
    max_attempts=2,
    resumable=False,
    latency_goal_s=0.4,
    timeout_s=6.0,
    event_gap_goal_s=0.3,
):
    """Return a route; fields that a test depends on are given by it."""
    return Route(
        name=f'route-{prefix}',
        host='a.test',
        path_prefix=prefix,
        kind=kind,
        splits=(TrafficSplit(service, 1),),
        timeout_s=timeout_s,
        latency_goal_s=latency_goal_s,
        event_gap_goal_s=event_gap_goal_s,
        max_attempts=max_attempts,
        priority=priority,
        anonymous=anonymous,
        resumable=resumable,
    )


def make_state(routes, workspaces):
    """Return a desired state with these routes and workspaces."""
    limits = CallerLimits(16384, 4096, 3, 15)
    return DesiredState(1, tuple(routes), (), tuple(workspaces), limits)


def _resolve(state, host, target, key):
    message = ResolveRequest(host, target, '' if key == 'none' else key, 0)
    return decisions.resolve(decisions.build_table(state), message)


@when('routes resolve {host}/{path} with API key {key}')
def resolve(context, host, path, key):
    state = make_state(
        [
            make_route(),
            make_route('/x/y/', 'deep'),
            make_route('/open/', anonymous=True),
        ],
        [Workspace('t', ('k1',), None)],
    )
    context.resolved = _resolve(state, host, f'/{path}', key)


@then('routes return the outcome {outcome}')
def returns_outcome(context, outcome):
    resolved = context.resolved
    if resolved.is_err():
        assert resolved.err_value.kind.value == outcome
    else:
        assert f'service {resolved.ok_value.service}' == outcome


@when(
    'routes select a service at split point {point:f} of weights 90 and 10',
)
def select_split(context, point):
    route = make_route()
    route.splits = (TrafficSplit('big', 90), TrafficSplit('small', 10))
    context.selected = decisions.select_service(route, point)


@then('routes select service {service}')
def selects(context, service):
    assert context.selected == service


@when(
    'routes resolve for a workspace of priority {own} on a route of '
    'priority {priority:d}',
)
def resolve_priority(context, own, priority):
    workspace = Workspace('t', ('k1',), None if own == 'none' else int(own))
    state = make_state([make_route(priority=priority)], [workspace])
    context.resolved = _resolve(state, 'a.test', '/x/1', 'k1')


@then('routes return the priority {priority:d}')
def returns_priority(context, priority):
    assert context.resolved.ok_value.priority == priority
