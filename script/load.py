"""Callers that send requests through entry hosts and check every answer.

    python -m script.load ENTRY... --model canoe-advice --plain orders:/timber

Each caller waits for its answer before it sends the next request. The load
ends after --seconds or --requests, whichever is first.
"""

from script import patched  # noqa: F401, I001 (must come first)

import itertools
import json
import random
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Annotated, Any, Final

import gevent
import typer
from geventhttpclient import HTTPClient
from hdrh.histogram import HdrHistogram

from apricotpin.core import Kernel, Reply
from apricotpin.helpers.addresses import Address
from script import calls

TALLY: Final = 'tally'
_ANSWER_TIMEOUT_S: Final = 15.0
_CONNECT_TIMEOUT_S: Final = 2.0
_LONGEST_US: Final = 60000000
_US_PER_S: Final = 1000000
_US_PER_MS: Final = 1000
_PERCENTILE: Final = 95
_DIGITS: Final = 3
_TOKENS: Final = 16
_EXECUTED_HEADER: Final = 'x-executed'


class LoadPlan:
    """Describe who calls what, for how long."""

    __slots__ = ('callers', 'entries', 'makers', 'pause_s', 'requests_max')

    def __init__(
        self,
        entries: Sequence[str],
        makers: Sequence[calls.MakeCall],
        callers: int = 20,
        requests_max: int = 100000,
        pause_s: float = 0.05,
    ) -> None:
        # Addresses of the callers' listeners, as ip:port.
        self.entries = list(entries)
        self.makers = list(makers)
        self.callers = callers
        self.requests_max = requests_max
        # Average time between an answer and the caller's next request.
        self.pause_s = pause_s


class Finished:
    """Report one request and what became of it."""

    __slots__ = ('call', 'executed', 'first_s', 'gaps_s', 'kind', 'verdict')

    def __init__(self, call: calls.Call, verdict: str, kind: str) -> None:
        self.call = call
        self.verdict = verdict
        # The error kind of a refusal.
        self.kind = kind
        # What a refusal says of the request: no, unknown or yes.
        self.executed = ''
        self.first_s: float = 0
        self.gaps_s: list[float] = []


class Started:
    """Ask to send one more request."""

    __slots__ = ()


class GetReport:
    """Ask for the figures so far."""

    __slots__ = ()


class LoadReport:
    """Hold the figures of a load."""

    __slots__ = (
        'by_kind',
        'first_p95_ms',
        'gap_p95_ms',
        'keys',
        'problems',
        'refused',
        'verdicts',
    )

    def __init__(self) -> None:
        self.verdicts: Counter[str] = Counter()
        self.by_kind: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        # What callers were told of each keyed request.
        self.keys: dict[str, str] = {}
        # The first few wrong and lost answers.
        self.problems: list[str] = []
        self.first_p95_ms: float = 0
        self.gap_p95_ms: float = 0

    def as_fields(self) -> dict[str, Any]:
        """Return the figures by name."""
        return {
            'requests': sum(self.verdicts.values()),
            'answers_right': self.verdicts[calls.RIGHT],
            'answers_wrong': self.verdicts[calls.WRONG],
            'answers_lost': self.verdicts[calls.LOST],
            'answers_refused': self.verdicts[calls.REFUSED],
            'refused_by_kind': dict(self.refused),
            'by_call': dict(self.by_kind),
            'first_token_p95_ms': self.first_p95_ms,
            'between_tokens_p95_ms': self.gap_p95_ms,
        }


class TallyService:
    """Own the figures of a load."""

    __slots__ = ('_first', '_gaps', '_report', '_requests_max', '_started')

    def __init__(self, requests_max: int) -> None:
        self._report = LoadReport()
        self._requests_max = requests_max
        self._started = 0
        self._first = HdrHistogram(1, _LONGEST_US, _DIGITS)
        self._gaps = HdrHistogram(1, _LONGEST_US, _DIGITS)

    def start(self, _message: Started, reply: Reply) -> None:
        """Answer whether one more request may be sent."""
        allowed = self._started < self._requests_max
        self._started += allowed
        reply.ok(allowed)

    def finish(self, message: Finished, reply: Reply) -> None:
        """Count a request."""
        report, call = self._report, message.call
        report.verdicts[message.verdict] += 1
        report.by_kind[f'{call.kind}_{message.verdict}'] += 1
        if message.verdict == calls.REFUSED:
            report.refused[message.kind] += 1
        if message.verdict in {calls.WRONG, calls.LOST}:
            self._note_problem(message)
        if call.key:
            report.keys[call.key] = message.executed or message.verdict
        if call.streamed and message.verdict == calls.RIGHT:
            self._first.record_value(int(message.first_s * _US_PER_S))
            for gap_s in message.gaps_s:
                self._gaps.record_value(int(gap_s * _US_PER_S))
        reply.ok()

    def report(self, _message: GetReport, reply: Reply) -> None:
        """Answer with the figures."""
        self._report.first_p95_ms = _p95_ms(self._first)
        self._report.gap_p95_ms = _p95_ms(self._gaps)
        reply.ok(self._report)

    def _note_problem(self, message: Finished) -> None:
        problems = self._report.problems
        if len(problems) < 10:
            call = message.call
            problems.append(
                f'verdict={message.verdict} call={call.kind} path={call.path} '
                f'request_id={call.request_id} kind={message.kind}'
            )


class Load:
    """Run callers in the background until finish is called."""

    __slots__ = ('_callers', '_ends_s', '_kernel', '_plan')

    def __init__(self, plan: LoadPlan, longest_s: float) -> None:
        self._plan = plan
        self._kernel = Kernel('load')
        self._ends_s = time.monotonic() + longest_s
        tally = TallyService(plan.requests_max)
        self._kernel.register(
            TALLY,
            {
                Started: tally.start,
                Finished: tally.finish,
                GetReport: tally.report,
            },
        )
        self._callers = [
            gevent.spawn(self._call_on, number)
            for number in range(plan.callers)
        ]

    def report(self) -> LoadReport:
        """Return the figures so far."""
        return self._kernel.call(TALLY, GetReport()).unwrap()

    def finish(self) -> LoadReport:
        """Send no more requests, wait for the answers, return the figures."""
        self._ends_s = 0
        return self.wait()

    def wait(self) -> LoadReport:
        """Wait for the end of the load and return the figures."""
        gevent.joinall(self._callers, raise_error=True)
        report = self.report()
        self._kernel.stop()
        return report

    def _call_on(self, number: int) -> None:
        caller_id = f'caller-{number}'
        makers = itertools.cycle(self._plan.makers)
        for _ in range(number):
            next(makers)
        while time.monotonic() < self._ends_s:
            if not self._kernel.call(TALLY, Started()).unwrap():
                return
            call = next(makers)(caller_id)
            verdict = self._perform(call)
            if call.repeated and verdict == calls.RIGHT:
                self._perform(call.again())
            gevent.sleep(random.expovariate(1 / self._plan.pause_s))

    def _perform(self, call: calls.Call) -> str:
        finished = perform(call, random.choice(self._plan.entries))
        self._kernel.call(TALLY, finished).unwrap()
        return finished.verdict


def perform(
    call: calls.Call,
    entry: str,
    silent_s: float = _ANSWER_TIMEOUT_S,
) -> Finished:
    """Send a call on a new connection and judge its answer.

    An answer of which nothing arrives for silent_s counts as lost.
    """
    address = Address.from_text(entry)
    client = HTTPClient(
        address.ip,
        address.port,
        connection_timeout=_CONNECT_TIMEOUT_S,
        network_timeout=silent_s,
    )
    sent_s = time.monotonic()
    arrived_s: list[float] = []
    try:
        answer = _exchange(client, call, arrived_s)
    except ConnectionRefusedError:
        return Finished(call, calls.REFUSED, 'connection_refused')
    except Exception as error:
        # geventhttpclient raises several unrelated exception types.
        return Finished(call, calls.LOST, repr(error))
    finally:
        client.close()
    verdict, kind = calls.judge(call, answer)
    finished = Finished(call, verdict, kind)
    finished.executed = answer.headers.get(_EXECUTED_HEADER, '')
    if arrived_s:
        finished.first_s = arrived_s[0] - sent_s
        finished.gaps_s = [
            later - earlier for earlier, later in itertools.pairwise(arrived_s)
        ]
    return finished


def _exchange(
    client: HTTPClient,
    call: calls.Call,
    arrived_s: list[float],
) -> calls.CallerAnswer:
    response = client.request(
        call.method,
        call.path,
        body=call.body,
        headers=call.headers('demo', random.randint(0, 9)),
    )
    lines = []
    for line in _lines(response):
        lines.append(line)
        if line.startswith(b'data: {'):
            arrived_s.append(time.monotonic())
    body = b''.join(lines)
    headers = {name.lower(): text for name, text in response.items()}
    declared = headers.get('content-length', str(len(body)))
    complete = int(declared) == len(body)
    return calls.CallerAnswer(response.status_code, headers, body, complete)


def _lines(response: Any) -> Iterator[bytes]:
    if response.get('content-type', '').startswith('text/event-stream'):
        while line := bytes(response.readline(b'\n')):
            yield line
    else:
        yield bytes(response.read())


def _p95_ms(histogram: HdrHistogram) -> float:
    return histogram.get_value_at_percentile(_PERCENTILE) / _US_PER_MS


def main(
    entries: list[str],
    model: Annotated[str, typer.Option(help='Service of a model.')] = '',
    plain: Annotated[str, typer.Option(help='SERVICE:/PATH to order.')] = '',
    callers: int = 20,
    seconds: float = 10,
    requests: int = 100000,
) -> None:
    """Send requests through ENTRIES (ip:port) and print the figures."""
    makers: list[calls.MakeCall] = []
    if model:
        makers.append(calls.generations(model, _TOKENS, streamed=True))
        makers.append(calls.generations(model, _TOKENS, streamed=False))
    if plain:
        service, path = plain.split(':')
        makers.append(calls.reads(service, path))
        makers.append(calls.orders(service, path))
    plan = LoadPlan(entries, makers, callers, requests)
    report = Load(plan, seconds).wait()
    typer.echo(json.dumps(report.as_fields(), indent=1))
    for problem in report.problems:
        typer.echo(problem)
    if report.verdicts[calls.WRONG] or report.verdicts[calls.LOST]:
        raise typer.Exit(1)


if __name__ == '__main__':
    typer.run(main)
