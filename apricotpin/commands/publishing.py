"""Publishes configurations to the log and reports which one is accepted."""

import json
import random
import uuid
from typing import Any, Final

import gevent
from result import Err, Ok, Result

from apricotpin.components.configuration import const
from apricotpin.components.configuration.bundle import Bundle
from apricotpin.components.configuration.decisions import (
    FoldState,
    FoldStep,
    fold_page,
    fold_record,
    next_read_offset,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.log_client import LogClient, LogPage, LogRecord

_ATTEMPTS_MAX: Final = 6
_BACKOFF_FIRST_S: Final = 0.3
_BACKOFF_MAX_S: Final = 3.0
# Ends the reading if the stream grows faster than it is read.
_PAGES_MAX: Final = 10000


class PublishRequest:
    """Hold a configuration to publish and the offset of the one it replaces."""

    __slots__ = ('author', 'based_on', 'bundle', 'publish_id')

    def __init__(self, bundle: Bundle, based_on: int, author: str) -> None:
        self.bundle = bundle
        self.based_on = based_on
        self.author = author
        # Identifies this record after a lost response. Both copies of a
        # repeated append have the same based_on, so at most one is accepted.
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
    detail = f'offset {position} is not the end after {_PAGES_MAX} pages'
    return Err(Failure(ErrorKind.LOG_UNAVAILABLE, detail))


def publish(
    client: LogClient,
    state: FoldState,
    request: PublishRequest,
) -> Result[int, Failure]:
    """Append a configuration and return the offset at which it is accepted.

    The failure is config_conflict if another configuration was accepted
    first, and log_unavailable if it is unknown whether the record was
    appended.
    """
    backoff_s = jittered_backoff(
        _BACKOFF_FIRST_S, _BACKOFF_MAX_S, random.random
    )
    is_appended = False
    cause = ''
    for attempt in range(1, _ATTEMPTS_MAX + 1):
        if not is_appended:
            outcome = client.append(
                const.CONFIG_STREAM,
                [request.as_fields()],
            )
            is_appended = outcome.is_ok()
            cause = '' if is_appended else outcome.err_value.detail
        found = _find_own_record(client, state, request.publish_id)
        if found.is_ok():
            return found
        if found.err_value.kind != ErrorKind.LOG_UNAVAILABLE:
            return found
        cause = cause or found.err_value.detail
        gevent.sleep(backoff_s(attempt))
    detail = f'id={request.publish_id} unknown whether it was published'
    return Err(Failure(ErrorKind.LOG_UNAVAILABLE, f'{detail}: {cause}'))


class OwnRecordSearch:
    """Fold records until the record of a publication is found."""

    __slots__ = ('found', 'publish_id', 'state', 'winner')

    def __init__(self, state: FoldState, publish_id: str) -> None:
        self.state = state
        self.publish_id = publish_id
        self.winner = ''
        self.found: Result[int, Failure] | None = None

    def fold(self, record: LogRecord) -> None:
        """Fold a record, and keep the result if it is the one searched for."""
        step = fold_record(self.state, record)
        self.state = step.state
        if record.value.get('id') == self.publish_id:
            self.found = self.found or _publication_result(
                step, record, self.winner
            )
        elif step.verdict == const.VERDICT_ACCEPTED:
            self.winner = record.value.get('author', '')


def _find_own_record(
    client: LogClient,
    state: FoldState,
    publish_id: str,
) -> Result[int, Failure]:
    """Fold up to the published record.

    The failure is log_unavailable if it is not in the log yet.
    """
    search = OwnRecordSearch(state, publish_id)
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
    return Err(
        Failure(ErrorKind.LOG_UNAVAILABLE, f'id={publish_id} is not in the log')
    )


def _author_at(client: LogClient, offset: int) -> str:
    """Return the author of a record, empty if the record has expired."""
    if offset == const.NO_OFFSET:
        return ''
    read = client.read(const.CONFIG_STREAM, offset)
    records = read.ok_value.records if read.is_ok() else []
    if not records or records[0].offset != offset:
        return ''
    return records[0].value.get('author', '')


def _read_from(client: LogClient, position: int) -> Result[LogPage, Failure]:
    """Read a page; log_offset_expired if records at its start expired."""
    read = client.read(const.CONFIG_STREAM, position)
    if read.is_ok() and read.ok_value.earliest_offset > position:
        return _expired(read.ok_value)
    return read


def _publication_result(
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
