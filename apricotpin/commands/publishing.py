"""Publish configurations to the log and learn which one won."""

import json
import random
import uuid
from typing import Any, Final

import gevent
from result import Err, Ok, Result

from apricotpin.components.configuration import const
from apricotpin.components.configuration.bundle import Bundle
from apricotpin.components.configuration.folding import (
    FoldState,
    FoldStep,
    fold_page,
    fold_record,
    next_read_offset,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.log_client import LogClient, LogPage, LogRecord

_ATTEMPTS: Final = 6
_FIRST_PAUSE_S: Final = 0.3
_LONGEST_PAUSE_S: Final = 3.0
# Ends the reading of a stream that grows faster than it is read.
_PAGES_MAX: Final = 10000


class PublishRequest:
    """Hold a configuration to publish and the record it builds on."""

    __slots__ = ('author', 'based_on', 'bundle', 'publish_id')

    def __init__(self, bundle: Bundle, based_on: int, author: str) -> None:
        self.bundle = bundle
        self.based_on = based_on
        self.author = author
        # Recognizes the own record after a lost reply; both copies of a
        # repeated append build on the same offset, so one at most is accepted.
        self.publish_id = str(uuid.uuid4())

    def as_fields(self) -> dict[str, Any]:
        """Return the value of the log record."""
        return {
            'kind': const.KIND_PUBLISH,
            'id': self.publish_id,
            'based_on': self.based_on,
            'author': self.author,
            **self.bundle.as_fields(),
        }


def read_state(client: LogClient) -> Result[FoldState, Failure]:
    """Fold the whole stream and return the configuration in force.

    The failure is log_unavailable, or log_offset_expired if the log keeps
    neither the first record nor a usable checkpoint.
    """
    state = FoldState()
    position = 0
    for _ in range(_PAGES_MAX):
        read = client.read(const.CONFIG_STREAM, position)
        if read.is_err():
            return read
        page = read.ok_value
        state = fold_page(state, page)
        position = next_read_offset(state, page, position)
        if position >= page.next_offset:
            return _complete(state, page)
    detail = f'offset {position} was not the last one'
    return Err(Failure(ErrorKind.LOG_UNAVAILABLE, detail))


def publish(
    client: LogClient,
    state: FoldState,
    request: PublishRequest,
) -> Result[int, Failure]:
    """Append a configuration and return the offset at which it is accepted.

    The failure is config_conflict if another publisher came first, and
    log_unavailable if it stayed unknown whether the record was appended.
    """
    pause_s = jittered_backoff(_FIRST_PAUSE_S, _LONGEST_PAUSE_S, random.random)
    appended = False
    cause = ''
    for attempt in range(1, _ATTEMPTS + 1):
        if not appended:
            outcome = client.append(
                const.CONFIG_STREAM,
                [request.as_fields()],
            )
            appended = outcome.is_ok()
            cause = '' if appended else outcome.err_value.detail
        found = _find_own(client, state, request.publish_id)
        if found.is_ok():
            return found
        if found.err_value.kind != ErrorKind.LOG_UNAVAILABLE:
            return found
        cause = cause or found.err_value.detail
        gevent.sleep(pause_s(attempt))
    detail = f'id={request.publish_id} may or may not have been published'
    return Err(Failure(ErrorKind.LOG_UNAVAILABLE, f'{detail}: {cause}'))


class Search:
    """Hold the fold while it looks for an own record."""

    __slots__ = ('found', 'publish_id', 'state', 'winner')

    def __init__(self, state: FoldState, publish_id: str) -> None:
        self.state = state
        self.publish_id = publish_id
        self.winner = ''
        self.found: Result[int, Failure] | None = None

    def fold(self, record: LogRecord) -> None:
        """Fold a record and judge it if it is the own one."""
        step = fold_record(self.state, record)
        self.state = step.state
        if record.value.get('id') == self.publish_id:
            self.found = self.found or _judge(step, record, self.winner)
        elif step.verdict == const.VERDICT_ACCEPTED:
            self.winner = record.value.get('author', '')


def _find_own(
    client: LogClient,
    state: FoldState,
    publish_id: str,
) -> Result[int, Failure]:
    """Fold up to the own record; log_unavailable if it is not there yet."""
    search = Search(state, publish_id)
    search.winner = _author_at(client, state.accepted_offset)
    for _ in range(_PAGES_MAX):
        page = _read_from(client, search.state.folded_offset)
        if page.is_err():
            return page
        for record in page.ok_value.records:
            search.fold(record)
        if search.found is not None:
            return search.found
        if search.state.folded_offset >= page.ok_value.next_offset:
            break
    return Err(Failure(ErrorKind.LOG_UNAVAILABLE, 'the record is not there'))


def _author_at(client: LogClient, offset: int) -> str:
    """Return the author of a record, empty if it is not kept any more."""
    if offset == const.NO_OFFSET:
        return ''
    read = client.read(const.CONFIG_STREAM, offset)
    records = read.ok_value.records if read.is_ok() else []
    if not records or records[0].offset != offset:
        return ''
    return records[0].value.get('author', '')


def _read_from(client: LogClient, position: int) -> Result[LogPage, Failure]:
    """Read a page; the failure is log_offset_expired if records are gone."""
    read = client.read(const.CONFIG_STREAM, position)
    if read.is_ok() and read.ok_value.earliest_offset > position:
        return _expired(read.ok_value)
    return read


def _judge(
    step: FoldStep,
    record: LogRecord,
    winner: str,
) -> Result[int, Failure]:
    if step.verdict == const.VERDICT_ACCEPTED:
        return Ok(record.offset)
    if step.verdict == const.VERDICT_INVALID:
        detail = 'path=claims.claim_partitions expected="no change"'
        return Err(Failure(ErrorKind.CONFIG_INVALID, detail))
    based_on = record.value['based_on']
    in_force = step.state.accepted_offset
    detail = (
        f'based_on={based_on} in_force={in_force} '
        f'winner={json.dumps(winner)} expected="based_on {in_force}"'
    )
    return Err(Failure(ErrorKind.CONFIG_CONFLICT, detail))


def _complete(state: FoldState, page: LogPage) -> Result[FoldState, Failure]:
    if page.earliest_offset > state.folded_offset:
        return _expired(page)
    return Ok(state)


def _expired(page: LogPage) -> Result[Any, Failure]:
    detail = (
        f'records before offset {page.earliest_offset} expired and no '
        'checkpoint covers them'
    )
    return Err(Failure(ErrorKind.LOG_OFFSET_EXPIRED, detail))
