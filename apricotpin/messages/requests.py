"""Callers' requests and upstreams' responses, apart from their encoding."""

from collections.abc import Callable
from typing import Any

Headers = list[tuple[str, str]]


class RequestHead:
    """Carry the method, target and headers of a caller's request.

    deadline_s is how long the caller waits for the response, None if it sent
    no deadline. last_event_id is empty unless the caller resumes a stream.
    forwarded holds the headers that are passed to the upstream unchanged, and
    shared_parts the parts of the prompt that other prompts may have too.
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
        'shared_parts',
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
        shared_parts: tuple[str, ...] = (),
    ) -> None:
        self.shared_parts = shared_parts
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
    """Carry the values of the headers that an attempt adds for its upstream.

    remaining_s is the time until the caller's deadline. is_resumed is true if
    the attempt continues a stream that another upstream broke off.
    """

    __slots__ = (
        'instance_id',
        'is_resumed',
        'last_event_id',
        'remaining_s',
        'workspace',
    )

    def __init__(
        self,
        instance_id: str,
        workspace: str,
        remaining_s: float,
        last_event_id: str,
        is_resumed: bool = False,
    ) -> None:
        self.instance_id = instance_id
        self.workspace = workspace
        self.remaining_s = remaining_s
        self.last_event_id = last_event_id
        self.is_resumed = is_resumed


class ResponseHead:
    """Carry the status and headers of an upstream's response.

    not_run is true if the upstream states that it did not run the request,
    has_seal if the response has the header that only the upstream sets.
    keep_alive_s is how long the upstream keeps an idle connection open, None
    if it did not say. responder_id is the instance named in the response and
    version that of its weights; they are empty and 0 if the response names
    none. is_leaving is true if the upstream states that it shuts down. pause_s
    is for how long it asks for no further requests, 0 if it does not ask.
    content_type is the type of the body without parameters, in lower case.
    """

    __slots__ = (
        'content_type',
        'has_encoded_body',
        'has_seal',
        'headers',
        'is_leaving',
        'is_misdirected',
        'keep_alive_s',
        'not_run',
        'pause_s',
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
        is_leaving: bool = False,
        pause_s: float = 0,
        content_type: str = '',
    ) -> None:
        self.content_type = content_type
        self.is_leaving = is_leaving
        self.pause_s = pause_s
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
    """Ask for the functions that encode requests and decode responses."""

    __slots__ = ()


class CallCodec:
    """Hold the functions that encode and decode one wire format.

    decode_request: (method, target, headers) -> Result[RequestHead, Failure]
    encode_request: (RequestHead, AttemptContext, body) -> bytes
    decode_response: (status, headers) -> ResponseHead
    refusal_headers: (request id, retry-after in seconds) -> Headers
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
    """Ask which route, service and workspace a request belongs to.

    split_point is a number from 0 to 1 that selects one of the services
    between which the route splits its requests.
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
    """Name the route, service, workspace and priority of a request."""

    __slots__ = ('priority', 'route', 'service', 'version', 'workspace')

    def __init__(
        self,
        route: Any,
        service: str,
        workspace: str,
        priority: int,
        version: int,
    ) -> None:
        self.route = route
        self.service = service
        self.workspace = workspace
        self.priority = priority
        # Version of the desired state that the request was resolved with.
        self.version = version
