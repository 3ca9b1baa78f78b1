"""Requests of callers and their answers, apart from any encoding."""

from collections.abc import Callable
from typing import Any

Headers = list[tuple[str, str]]


class RequestHead:
    """Hold the head of a caller's request.

    deadline_s is the time that the caller waits, None where it said nothing;
    last_event_id is empty unless a stream is resumed; forwarded holds the
    headers that an upstream receives unchanged.
    """

    __slots__ = (
        'api_key',
        'deadline_s',
        'forwarded',
        'host',
        'last_event_id',
        'method',
        'output_tokens',
        'prompt_tokens',
        'request_id',
        'target',
    )

    def __init__(
        self,
        method: str,
        target: str,
        host: str,
        request_id: str,
        api_key: str,
        deadline_s: float | None,
        last_event_id: str,
        prompt_tokens: int,
        output_tokens: int,
        forwarded: Headers,
    ) -> None:
        self.method = method
        self.target = target
        self.host = host
        self.request_id = request_id
        self.api_key = api_key
        self.deadline_s = deadline_s
        self.last_event_id = last_event_id
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.forwarded = forwarded


class AttemptContext:
    """Hold what an upstream is told about one attempt.

    urgent holds where it goes on with what another upstream broke off.
    """

    __slots__ = (
        'instance_id',
        'is_resumed',
        'last_event_id',
        'remaining_s',
        'tenant',
    )

    def __init__(
        self,
        instance_id: str,
        tenant: str,
        remaining_s: float,
        last_event_id: str,
        is_resumed: bool = False,
    ) -> None:
        self.instance_id = instance_id
        self.tenant = tenant
        self.remaining_s = remaining_s
        self.last_event_id = last_event_id
        self.is_resumed = is_resumed


class ResponseHead:
    """Hold the head of an upstream's answer.

    not_run holds where the upstream says that it did not run the request;
    sealed where the answer bears the upstream's own mark; idle_s is how long
    the connection may stay idle, None where that was not said. answered_by is
    the instance that names itself in the answer, empty if none does; version
    is that of the weights it names, 0 if it names none.
    """

    __slots__ = (
        'has_encoded_body',
        'has_seal',
        'headers',
        'is_misdirected',
        'keep_alive_s',
        'not_run',
        'request_id',
        'responder_id',
        'status',
        'version',
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        request_id: str,
        has_seal: bool,
        not_run: bool,
        is_misdirected: bool,
        has_encoded_body: bool,
        keep_alive_s: float | None,
        responder_id: str = '',
        version: int = 0,
    ) -> None:
        self.responder_id = responder_id
        self.version = version
        self.status = status
        self.headers = headers
        self.request_id = request_id
        self.has_seal = has_seal
        self.not_run = not_run
        self.is_misdirected = is_misdirected
        self.has_encoded_body = has_encoded_body
        self.keep_alive_s = keep_alive_s


class GetCallCodec:
    """Ask for the functions that decode and encode requests and answers."""

    __slots__ = ()


class CallCodec:
    """Hold the functions of one wire format.

    decode_request: (method, target, headers) -> Result[RequestHead, Failure]
    encode_request: (RequestHead, AttemptContext, body) -> bytes
    decode_response: (status, headers) -> ResponseHead
    refusal_headers: (request id, time to come back in seconds) -> Headers
    """

    __slots__ = (
        'decode_request',
        'decode_response',
        'encode_request',
        'refusal_headers',
    )

    def __init__(
        self,
        decode_request: Callable[..., Any],
        encode_request: Callable[..., bytes],
        decode_response: Callable[..., ResponseHead],
        refusal_headers: Callable[..., Headers],
    ) -> None:
        self.decode_request = decode_request
        self.encode_request = encode_request
        self.decode_response = decode_response
        self.refusal_headers = refusal_headers


class ResolveRequest:
    """Ask which route, service and tenant a request belongs to.

    split_point is a number from 0 to 1 that picks among split services.
    """

    __slots__ = ('api_key', 'host', 'split_point', 'target')

    def __init__(
        self,
        host: str,
        target: str,
        api_key: str,
        split_point: float,
    ) -> None:
        self.host = host
        self.target = target
        self.api_key = api_key
        self.split_point = split_point


class ResolvedRequest:
    """Name the route, service and tenant of a request."""

    __slots__ = ('priority', 'route', 'service', 'tenant', 'version')

    def __init__(
        self,
        route: Any,
        service: str,
        tenant: str,
        priority: int,
        version: int,
    ) -> None:
        self.route = route
        self.service = service
        self.tenant = tenant
        self.priority = priority
        # Version of the desired state that decided.
        self.version = version
