"""Load generator: callers send requests to entry hosts and check responses.

    python -m script.load ENTRY... --model canoe-advice --plain orders:/timber

Each caller waits for a response before it sends its next request. The load
ends after --seconds or --requests, whichever is reached first.
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
from script import caller_requests

TALLY: Final = 'tally'
_SILENCE_TIMEOUT_S: Final = 15.0
_CONNECT_TIMEOUT_S: Final = 2.0
_LATENCY_MAX_US: Final = 60000000
_US_PER_S: Final = 1000000
_US_PER_MS: Final = 1000
_PERCENTILE: Final = 95
_SIGNIFICANT_DIGITS: Final = 3
_TOKENS: Final = 16
# Short enough that some repeats arrive before the outcome of the first request
# is in the log, and long enough that others arrive after it.
_REPEAT_DELAY_MAX_S: Final = 2.0
_EXECUTED_HEADER: Final = 'x-executed'


class LoadPlan:
    """Describe the callers of a load and the requests that they send."""

    __slots__ = (
        'callers',
        'entries',
        'factories',
        'mean_pause_s',
        'requests_max',
    )

    def __init__(
        self,
        entries: Sequence[str],
        factories: Sequence[caller_requests.RequestFactory],
        callers: int = 20,
        requests_max: int = 100000,
        mean_pause_s: float = 0.05,
    ) -> None:
        # Addresses ip:port at which entry hosts accept requests of callers.
        self.entries = list(entries)
        self.factories = list(factories)
        self.callers = callers
        self.requests_max = requests_max
        # Mean time between a response and the next request of the same caller.
        self.mean_pause_s = mean_pause_s


class RequestDone:
    """Record the outcome of one request."""

    __slots__ = (
        'error_kind',
        'executed',
        'first_token_s',
        'request',
        'token_gaps_s',
        'verdict',
    )

    def __init__(
        self, request: caller_requests.CallerRequest, verdict: str, kind: str
    ) -> None:
        self.request = request
        self.verdict = verdict
        # Error kind of a refusal, or the exception of a lost response.
        self.error_kind = kind
        # The X-Executed header of a refusal: no, unknown or yes.
        self.executed = ''
        # Time from sending the request to the first token of a stream.
        self.first_token_s: float = 0
        # Times between consecutive tokens of a stream.
        self.token_gaps_s: list[float] = []


class RequestPermission:
    """Ask whether a caller may send one more request."""

    __slots__ = ()


class GetResults:
    """Ask for the results so far."""

    __slots__ = ()


class LoadResults:
    """Hold the counts and latencies of a load."""

    __slots__ = (
        'by_kind',
        'first_token_p95_ms',
        'outcome_by_key',
        'problems',
        'refused_by_kind',
        'token_gap_p95_ms',
        'verdicts',
    )

    def __init__(self) -> None:
        self.verdicts: Counter[str] = Counter()
        self.by_kind: Counter[str] = Counter()
        self.refused_by_kind: Counter[str] = Counter()
        # By key: the X-Executed header of the last response, else its verdict.
        self.outcome_by_key: dict[str, str] = {}
        # Descriptions of the first ten wrong and lost responses.
        self.problems: list[str] = []
        self.first_token_p95_ms: float = 0
        self.token_gap_p95_ms: float = 0

    def as_fields(self) -> dict[str, Any]:
        """Return the results by the names under which they are printed."""
        return {
            'requests': sum(self.verdicts.values()),
            'answers_right': self.verdicts[caller_requests.RIGHT],
            'answers_wrong': self.verdicts[caller_requests.WRONG],
            'answers_lost': self.verdicts[caller_requests.LOST],
            'answers_refused': self.verdicts[caller_requests.REFUSED],
            'refused_by_kind': dict(self.refused_by_kind),
            'by_call': dict(self.by_kind),
            'first_token_p95_ms': self.first_token_p95_ms,
            'between_tokens_p95_ms': self.token_gap_p95_ms,
        }


class TallyService:
    """Count the requests of a load and their outcomes."""

    __slots__ = (
        '_first_token_us',
        '_requests_max',
        '_results',
        '_started',
        '_token_gaps_us',
    )

    def __init__(self, requests_max: int) -> None:
        self._results = LoadResults()
        self._requests_max = requests_max
        self._started = 0
        self._first_token_us = HdrHistogram(
            1, _LATENCY_MAX_US, _SIGNIFICANT_DIGITS
        )
        self._token_gaps_us = HdrHistogram(
            1, _LATENCY_MAX_US, _SIGNIFICANT_DIGITS
        )

    def admit(self, _message: RequestPermission, reply: Reply) -> None:
        """Reply whether one more request may be sent, and count it if so."""
        allowed = self._started < self._requests_max
        self._started += allowed
        reply.ok(allowed)

    def record(self, message: RequestDone, reply: Reply) -> None:
        """Record the outcome of a request."""
        results, request = self._results, message.request
        results.verdicts[message.verdict] += 1
        results.by_kind[f'{request.kind}_{message.verdict}'] += 1
        if message.verdict == caller_requests.REFUSED:
            results.refused_by_kind[message.error_kind] += 1
        if message.verdict in {caller_requests.WRONG, caller_requests.LOST}:
            self._record_problem(message)
        if request.key:
            results.outcome_by_key[request.key] = (
                message.executed or message.verdict
            )
        if request.is_streamed and message.verdict == caller_requests.RIGHT:
            self._first_token_us.record_value(
                int(message.first_token_s * _US_PER_S)
            )
            for gap_s in message.token_gaps_s:
                self._token_gaps_us.record_value(int(gap_s * _US_PER_S))
        reply.ok()

    def results(self, _message: GetResults, reply: Reply) -> None:
        """Reply with the results so far."""
        self._results.first_token_p95_ms = _p95_ms(self._first_token_us)
        self._results.token_gap_p95_ms = _p95_ms(self._token_gaps_us)
        reply.ok(self._results)

    def _record_problem(self, message: RequestDone) -> None:
        problems = self._results.problems
        if len(problems) < 10:
            request = message.request
            problems.append(
                f'verdict={message.verdict} call={request.kind} '
                f'path={request.path} request_id={request.request_id} '
                f'kind={message.error_kind}'
            )


class LoadGenerator:
    """Run callers in the background until a limit or a call of finish()."""

    __slots__ = ('_callers', '_deadline_s', '_kernel', '_plan')

    def __init__(self, plan: LoadPlan, duration_max_s: float) -> None:
        self._plan = plan
        self._kernel = Kernel('load')
        self._deadline_s = time.monotonic() + duration_max_s
        tally = TallyService(plan.requests_max)
        self._kernel.register(
            TALLY,
            {
                RequestPermission: tally.admit,
                RequestDone: tally.record,
                GetResults: tally.results,
            },
        )
        self._callers = [
            gevent.spawn(self._run_caller, number)
            for number in range(plan.callers)
        ]

    def results(self) -> LoadResults:
        """Return the results so far."""
        return self._kernel.call(TALLY, GetResults()).unwrap()

    def finish(self) -> LoadResults:
        """Stop sending, wait for all responses and return the results."""
        self._deadline_s = 0
        return self.wait()

    def wait(self) -> LoadResults:
        """Wait for the end of the load and return the results."""
        gevent.joinall(self._callers, raise_error=True)
        results = self.results()
        self._kernel.stop()
        return results

    def _run_caller(self, number: int) -> None:
        caller_id = f'caller-{number}'
        factories = itertools.cycle(self._plan.factories)
        for _ in range(number):
            next(factories)
        while time.monotonic() < self._deadline_s:
            if not self._kernel.call(TALLY, RequestPermission()).unwrap():
                return
            request = next(factories)(caller_id)
            verdict = self._send_one(request)
            if request.is_repeated and verdict == caller_requests.RIGHT:
                gevent.sleep(random.random() * _REPEAT_DELAY_MAX_S)
                self._send_one(request.as_repeat())
            gevent.sleep(random.expovariate(1 / self._plan.mean_pause_s))

    def _send_one(self, request: caller_requests.CallerRequest) -> str:
        done = send_and_check(request, random.choice(self._plan.entries))
        self._kernel.call(TALLY, done).unwrap()
        return done.verdict


def send_and_check(
    request: caller_requests.CallerRequest,
    entry: str,
    silence_timeout_s: float = _SILENCE_TIMEOUT_S,
) -> RequestDone:
    """Send a request on a new connection and check the response.

    A response counts as lost if no data arrives for silence_timeout_s.
    """
    address = Address.from_text(entry)
    client = HTTPClient(
        address.ip,
        address.port,
        connection_timeout=_CONNECT_TIMEOUT_S,
        network_timeout=silence_timeout_s,
    )
    sent_s = time.monotonic()
    arrived_s: list[float] = []
    try:
        response = _send_request(client, request, arrived_s)
    except ConnectionRefusedError:
        return RequestDone(
            request, caller_requests.REFUSED, 'connection_refused'
        )
    except Exception as error:
        # geventhttpclient raises exceptions without a common base class.
        return RequestDone(request, caller_requests.LOST, repr(error))
    finally:
        client.close()
    verdict, kind = caller_requests.classify_response(request, response)
    done = RequestDone(request, verdict, kind)
    done.executed = response.headers.get(_EXECUTED_HEADER, '')
    if arrived_s:
        done.first_token_s = arrived_s[0] - sent_s
        done.token_gaps_s = [
            later - earlier for earlier, later in itertools.pairwise(arrived_s)
        ]
    return done


def _send_request(
    client: HTTPClient,
    request: caller_requests.CallerRequest,
    arrived_s: list[float],
) -> caller_requests.CallerResponse:
    response = client.request(
        request.method,
        request.path,
        body=request.body,
        headers=request.headers('demo', random.randint(0, 9)),
    )
    lines = []
    for line in _lines(response):
        lines.append(line)
        if line.startswith(b'data: {'):
            arrived_s.append(time.monotonic())
    body = b''.join(lines)
    headers = {name.lower(): text for name, text in response.items()}
    declared = headers.get('content-length', str(len(body)))
    is_complete = int(declared) == len(body)
    return caller_requests.CallerResponse(
        response.status_code, headers, body, is_complete
    )


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
    model: Annotated[str, typer.Option(help='Name of a model service.')] = '',
    plain: Annotated[
        str,
        typer.Option(help='Plain service and path, as SERVICE:/PATH.'),
    ] = '',
    callers: int = 20,
    seconds: float = 10,
    requests: int = 100000,
) -> None:
    """Send requests through ENTRIES (ip:port) and print the figures."""
    factories: list[caller_requests.RequestFactory] = []
    if model:
        factories.append(
            caller_requests.generation_factory(model, _TOKENS, streamed=True)
        )
        factories.append(
            caller_requests.generation_factory(model, _TOKENS, streamed=False)
        )
    if plain:
        service, path = plain.split(':')
        factories.append(caller_requests.read_factory(service, path))
        factories.append(caller_requests.order_factory(service, path))
    plan = LoadPlan(entries, factories, callers, requests)
    results = LoadGenerator(plan, seconds).wait()
    typer.echo(json.dumps(results.as_fields(), indent=1))
    for problem in results.problems:
        typer.echo(problem)
    if (
        results.verdicts[caller_requests.WRONG]
        or results.verdicts[caller_requests.LOST]
    ):
        raise typer.Exit(1)


if __name__ == '__main__':
    typer.run(main)
