"""Service that resolves requests with the route table in force."""

from apricotpin.components.routes import decisions
from apricotpin.core import Reply
from apricotpin.errors import ErrorKind
from apricotpin.messages.desired import DesiredStateChanged
from apricotpin.messages.requests import ResolveRequest


class RoutesService:
    """Hold the route table in force; it is None before the first one."""

    __slots__ = ('_table',)

    def __init__(self) -> None:
        self._table: decisions.RouteTable | None = None

    def replace_table(self, message: DesiredStateChanged, reply: Reply) -> None:
        """Replace the route table by that of a new desired state."""
        self._table = decisions.build_table(message.state)
        reply.ok()

    def resolve(self, message: ResolveRequest, reply: Reply) -> None:
        """Reply with the route, service and workspace of a request."""
        if self._table is None:
            reply.err(
                ErrorKind.NOT_READY, 'no desired state has been received yet'
            )
            return
        reply.forward(decisions.resolve(self._table, message))
