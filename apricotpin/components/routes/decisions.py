"""Find the route, service and workspace of a request."""

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.requests import ResolvedRequest, ResolveRequest
from apricotpin.messages.desired import DesiredState, Route, Workspace


class RouteTable:
    """Hold the routes of a desired state by host, longest prefix first."""

    __slots__ = ('by_host', 'open_to_all', 'version', 'workspaces')

    def __init__(
        self,
        by_host: dict[str, list[Route]],
        workspaces: dict[str, Workspace],
        open_to_all: bool,
        version: int,
    ) -> None:
        self.by_host = by_host
        self.workspaces = workspaces
        self.open_to_all = open_to_all
        self.version = version


def build_table(state: DesiredState) -> RouteTable:
    """Arrange a desired state for look-ups."""
    by_host: dict[str, list[Route]] = {}
    longest_first = sorted(
        state.routes,
        key=lambda route: len(route.path_prefix),
        reverse=True,
    )
    for route in longest_first:
        by_host.setdefault(route.host.lower(), []).append(route)
    workspaces = {
        key: workspace
        for workspace in state.workspaces or ()
        for key in workspace.api_keys
    }
    return RouteTable(
        by_host, workspaces, state.workspaces is None, state.version
    )


def resolve(
    table: RouteTable,
    message: ResolveRequest,
) -> Result[ResolvedRequest, Failure]:
    """Return where a request belongs, or why it is refused."""
    route = find_route(table, message.host, message.target)
    if route is None:
        detail = f'host={message.host} target={message.target}'
        return Err(Failure(ErrorKind.UNKNOWN_ROUTE, detail))
    workspace = table.workspaces.get(message.api_key)
    needs_key = not table.open_to_all and not route.anonymous
    if workspace is None and needs_key:
        return Err(Failure(ErrorKind.API_KEY_UNKNOWN, f'route={route.name}'))
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return Ok(
        ResolvedRequest(
            route,
            choose_service(route, message.split_point),
            '' if workspace is None else workspace.name,
            priority,
            table.version,
        ),
    )


def find_route(table: RouteTable, host: str, target: str) -> Route | None:
    """Return the route with the longest prefix that begins the path."""
    name = host.rpartition(':')[0] if _has_port(host) else host
    path = target.partition('?')[0]
    for route in table.by_host.get(name.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: Route, split_point: float) -> str:
    """Return the service at a point from 0 to 1 of the route's weights."""
    total = sum(part.weight for part in route.splits)
    reached = split_point * total
    for split in route.splits:
        reached -= split.weight
        if reached < 0:
            return split.service
    return max(route.splits, key=lambda part: part.weight).service


def _has_port(host: str) -> bool:
    return host.rpartition(':')[2].isdigit() and ':' in host
