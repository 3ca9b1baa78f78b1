"""Own the route table in force."""

from apricotpin.components.routes import decisions
from apricotpin.core import Reply
from apricotpin.errors import ErrorKind
from apricotpin.messages.desired import DesiredStateChanged
from apricotpin.messages.requests import ResolveRequest


class RoutesService:
    """Own the route table in force."""

    __slots__ = ('_table',)

    def __init__(self) -> None:
        self._table: decisions.RouteTable | None = None

    def change(self, message: DesiredStateChanged, reply: Reply) -> None:
        """Put a desired state in force."""
        self._table = decisions.build_table(message.state)
        reply.ok()

    def resolve(self, message: ResolveRequest, reply: Reply) -> None:
        """Answer where a request belongs."""
        if self._table is None:
            reply.err(ErrorKind.NOT_READY, 'no desired state is known yet')
            return
        reply.forward(decisions.resolve(self._table, message))
