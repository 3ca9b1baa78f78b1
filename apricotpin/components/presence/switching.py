"""Decide in which order workers switch to a new version."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from apricotpin.components.presence import const
from apricotpin.components.presence.schedule import HelloSchedule, Receiver
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.fleet import EntryHello, LoadReport, WeightsTarget

TargetVersion = Callable[[LoadReport], int]
TurnContent = tuple[int, int, int, bool]


class SwitchTurn:
    """Say when the worker beside an agent may switch to a version.

    waits_for is the number of workers of earlier groups that serve an older
    version. may_cut is true if requests in progress may be cut off.
    """

    __slots__ = ('group', 'may_cut', 'version', 'waits_for')

    def __init__(
        self,
        waits_for: int = 0,
        group: int = 0,
        version: int = 0,
        may_cut: bool = False,
    ) -> None:
        self.waits_for = waits_for
        self.group = group
        self.version = version
        self.may_cut = may_cut

    def content(self) -> TurnContent:
        """Return all fields, equal for turns that say the same."""
        return self.waits_for, self.group, self.version, self.may_cut


class AddressedHello:
    """Hold a hello and the addresses of the agents that receive it."""

    __slots__ = ('addresses', 'hello')

    def __init__(self, hello: EntryHello) -> None:
        self.hello = hello
        self.addresses: list[str] = []


def switch_turns(
    reports: Iterable[LoadReport],
    target_version: TargetVersion,
    resumable_services: frozenset[str],
) -> dict[str, SwitchTurn]:
    """Return the turn of each agent's worker to switch, by peer address.

    The workers of a service and data centre are divided into groups in the
    order of their addresses. A worker waits for those of earlier groups that
    serve a version older than its target version.
    """
    by_place = defaultdict(list)
    for report in reports:
        by_place[(report.service_name, report.data_centre)].append(report)
    turns: dict[str, SwitchTurn] = {}
    for (service_name, _), workers in by_place.items():
        may_cut = service_name in resumable_services
        turns.update(_turns_of_place(workers, target_version, may_cut))
    return turns


def make_agent_hellos(
    own_host: EntryHost,
    targets: list[WeightsTarget],
    agents: Iterable[Receiver],
    turns: dict[str, SwitchTurn],
    schedule: HelloSchedule,
) -> list[AddressedHello]:
    """Return the hellos to agents; agents with equal content share one."""
    no_turn = SwitchTurn()
    hellos: dict[tuple[bool, TurnContent], AddressedHello] = {}
    for agent in agents:
        turn = turns.get(agent.address, no_turn)
        key = (agent.is_local, turn.content())
        if key not in hellos:
            hello = _make_hello(own_host, targets, turn)
            hello.period_ms = schedule.period_ms(agent.is_local)
            hellos[key] = AddressedHello(hello)
        hellos[key].addresses.append(agent.address)
    return list(hellos.values())


def count_outdated(reports: list[LoadReport], version: int) -> int:
    """Return how many workers still serve an older version.

    A worker that is loading the new version reports version 0 and is not
    counted, so that the next group drains in the meantime.
    """
    return sum(
        1
        for report in reports
        if report.reachable and 0 < report.version < version
    )


def _turns_of_place(
    workers: list[LoadReport], target_version: TargetVersion, may_cut: bool
) -> dict[str, SwitchTurn]:
    workers.sort(key=lambda report: report.address)
    size = -(-len(workers) // const.SWITCH_GROUPS_MAX)
    turns: dict[str, SwitchTurn] = {}
    for position, worker in enumerate(workers):
        group = position // size
        version = target_version(worker)
        waits_for = count_outdated(workers[: group * size], version)
        turns[worker.peer_address] = SwitchTurn(
            waits_for, group, version, may_cut
        )
    return turns


def _make_hello(
    own_host: EntryHost, targets: list[WeightsTarget], turn: SwitchTurn
) -> EntryHello:
    return EntryHello(
        own_host.host_id,
        own_host.peer_address,
        own_host.data_centre,
        targets,
        turn.waits_for,
        turn.group,
        may_cut=turn.may_cut,
        turn_version=turn.version,
    )
