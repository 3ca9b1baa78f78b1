"""Find the route, service and workspace of a request."""

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.desired import DesiredState, Route, Workspace
from apricotpin.messages.requests import ResolvedRequest, ResolveRequest


class RouteTable:
    """Index the routes of a desired state by host, longest prefix first.

    Host names are in lower case, and workspaces are found by API key. is_public
    holds where the desired state defines no workspaces: no route needs a key.
    """

    __slots__ = ('is_public', 'routes_by_host', 'version', 'workspaces')

    def __init__(
        self,
        routes_by_host: dict[str, list[Route]],
        workspaces: dict[str, Workspace],
        is_public: bool,
        version: int,
    ) -> None:
        self.routes_by_host = routes_by_host
        self.workspaces = workspaces
        self.is_public = is_public
        self.version = version


def build_table(state: DesiredState) -> RouteTable:
    """Return the route table of a desired state."""
    routes_by_host: dict[str, list[Route]] = {}
    longest_first = sorted(
        state.routes,
        key=lambda route: len(route.path_prefix),
        reverse=True,
    )
    for route in longest_first:
        routes_by_host.setdefault(route.host.lower(), []).append(route)
    workspaces = {
        key: workspace
        for workspace in state.workspaces or ()
        for key in workspace.api_keys
    }
    return RouteTable(
        routes_by_host, workspaces, state.workspaces is None, state.version
    )


def resolve(
    table: RouteTable,
    message: ResolveRequest,
) -> Result[ResolvedRequest, Failure]:
    """Return the route, service and workspace of a request, or its refusal."""
    route = find_route(table, message.host, message.target)
    if route is None:
        detail = f'no route for host={message.host} target={message.target}'
        return Err(Failure(ErrorKind.UNKNOWN_ROUTE, detail))
    workspace = table.workspaces.get(message.api_key)
    needs_key = not table.is_public and not route.anonymous
    if workspace is None and needs_key:
        return Err(
            Failure(
                ErrorKind.API_KEY_UNKNOWN,
                f'unknown API key; one is required by route={route.name}',
            ),
        )
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return Ok(
        ResolvedRequest(
            route,
            select_service(route, message.split_point),
            '' if workspace is None else workspace.name,
            priority,
            table.version,
        ),
    )


def find_route(table: RouteTable, host: str, target: str) -> Route | None:
    """Return the route with the longest prefix of the path, None if none."""
    host_name = host.rpartition(':')[0] if _has_port(host) else host
    path = target.partition('?')[0]
    for route in table.routes_by_host.get(host_name.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def select_service(route: Route, split_point: float) -> str:
    """Return the service that receives the requests of a split point.

    The services of the route share the range from 0 to 1 in proportion to
    their weights.
    """
    total = sum(part.weight for part in route.splits)
    remaining = split_point * total
    for split in route.splits:
        remaining -= split.weight
        if remaining < 0:
            return split.service
    return max(route.splits, key=lambda part: part.weight).service


def _has_port(host: str) -> bool:
    return host.rpartition(':')[2].isdigit() and ':' in host
