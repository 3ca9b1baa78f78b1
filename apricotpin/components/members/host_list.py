"""Task that reads the platform's host list."""

import random
from typing import Any, Final

import gevent
from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.members import const
from apricotpin.const import HOST_LEAVING, HOST_LIVE, SERVICE_MEMBERS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.http import HttpRequest, HttpResponse, send_request
from apricotpin.helpers.metrics import count_retry
from apricotpin.messages.hosts import Host
from apricotpin.messages.members import HostListRead, ListedHost

_HTTP_OK: Final = 200


class HostList:
    """Hold the entries of the platform's host list and its size."""

    __slots__ = ('entries', 'size_bytes')

    def __init__(self, entries: list[ListedHost], size_bytes: int) -> None:
        self.entries = entries
        self.size_bytes = size_bytes


def read_host_list(
    host_list_url: str,
    timeout_s: float,
) -> Result[HostList, Failure]:
    """Read the host list once; an error is host_list_unavailable."""
    request = HttpRequest('GET', f'{host_list_url.rstrip("/")}/hosts')
    kind = ErrorKind.HOST_LIST_UNAVAILABLE
    return send_request(request, timeout_s, kind).and_then(_parse_host_list)


def follow_host_list(kernel: Kernel, host_list_url: str) -> None:
    """Read the host list periodically and send it to the members service."""
    backoff_s = jittered_backoff(
        const.BACKOFF_FIRST_S,
        const.BACKOFF_MAX_S,
        random.random,
    )
    failure_count = 0
    while True:
        outcome = read_host_list(host_list_url, const.HOST_LIST_TIMEOUT_S)
        if outcome.is_err():
            failure_count += 1
            count_retry(kernel, outcome.err_value.kind.value)
            if failure_count == 1:
                logger.bind(cause=outcome.err_value).warning(
                    'host_list_unavailable'
                )
            gevent.sleep(backoff_s(failure_count))
            continue
        failure_count = 0
        kernel.send(SERVICE_MEMBERS, HostListRead(outcome.ok_value.entries))
        gevent.sleep(
            next_read_delay_s(outcome.ok_value.size_bytes, random.random())
        )


def next_read_delay_s(size_bytes: int, random_unit: float) -> float:
    """Return the jittered time in seconds until the list is read again.

    random_unit is a random number between 0 and 1.
    """
    bandwidth_period_s = size_bytes / const.HOST_LIST_BYTES_PER_S
    mean_period_s = max(const.HOST_LIST_PERIOD_S, bandwidth_period_s)
    return mean_period_s * (1 + const.HOST_LIST_JITTER * (2 * random_unit - 1))


def _parse_host_list(response: HttpResponse) -> Result[HostList, Failure]:
    if response.status != _HTTP_OK:
        detail = (
            f'the host list responded with status {response.status}, '
            f'expected {_HTTP_OK}'
        )
        return Err(Failure(ErrorKind.HOST_LIST_UNAVAILABLE, detail))
    try:
        entries = [
            _listed_host(fields) for fields in response.document()['hosts']
        ]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        detail = f'the host list response is malformed: {error!r}'
        return Err(Failure(ErrorKind.HOST_LIST_UNAVAILABLE, detail))
    return Ok(HostList(entries, len(response.body)))


def _listed_host(fields: dict[str, Any]) -> ListedHost:
    host = Host(
        fields['host_id'],
        role=fields['role'],
        region=fields['region'],
        data_centre=fields['data_centre'],
        peer_address=fields.get('peer_address') or '',
        upstream_address=fields.get('upstream_address') or '',
        service_name=fields.get('service') or '',
        state=HOST_LIVE,
    )
    return ListedHost(host, fields['state'] == HOST_LEAVING)
