"""Parser of the HTTP responses that arrive on one connection."""

from http import HTTPStatus
from typing import Final

from geventhttpclient.response import HTTPParseError, HTTPResponse

# More than the head of a response of any known upstream.
RESPONSE_HEAD_MAX_BYTES: Final = 65536
# Many short headers or trailers take far more memory and processor time than
# their bytes suggest, so a limit of bytes alone would not be enough.
RESPONSE_HEADERS_MAX: Final = 256

_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ResponseParser(HTTPResponse):
    """Parse one response and reject all bytes that follow it.

    The library's parser starts anew when a second response arrives on the
    connection and would mix the headers and bodies of both.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.has_surplus = False
        self.is_malformed = False
        self._body_bytes = bytearray()
        self._head_bytes = 0
        # Headers, trailers and interim responses received so far.
        self._head_parts = 0

    def parse(self, received: bytes) -> None:
        """Parse received bytes; an empty value marks the end of the stream."""
        if self.head_complete:
            self._parse(received)
            return
        allowed_bytes = RESPONSE_HEAD_MAX_BYTES - self._head_bytes
        self._head_bytes += len(received)
        self._parse(received[:allowed_bytes])
        if self._head_bytes <= RESPONSE_HEAD_MAX_BYTES or self.is_malformed:
            return
        if self.head_complete:
            self._parse(received[allowed_bytes:])
        else:
            self.is_malformed = True

    def pop_body(self) -> bytes:
        """Return the bytes of the body parsed since the last call."""
        parsed = bytes(self._body_bytes)
        self._body_bytes.clear()
        return parsed

    @property
    def head_complete(self) -> bool:
        """Return whether the head of the final response was received."""
        interim = self.get_code() < HTTPStatus.OK
        return self.headers_complete and not interim

    @property
    def is_complete(self) -> bool:
        """Return whether the response ended as its headers announced.

        A response without a length that ends with its connection is not
        complete, since it can't be distinguished from a truncated one.
        """
        return self.message_complete and self._framed

    @property
    def has_length(self) -> bool:
        """Return whether the head has a Content-Length."""
        return 'content-length' in self

    @property
    def can_reuse_connection(self) -> bool:
        """Return whether the connection may carry another request.

        After a response that is followed by further bytes it may not, since
        the parser accepts no more input.
        """
        return (
            self.is_complete
            and not self.has_surplus
            and self.should_keep_alive()
        )

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is missing or repeated."""
        field = self.get(name, '')
        return field if isinstance(field, str) else ''

    def _parse(self, received: bytes) -> None:
        try:
            self.feed(received)
        except (HTTPParseError, ValueError):
            # After a response that closes the connection the parser rejects
            # further bytes; the response itself is complete.
            ended = self.head_complete and self.message_complete
            self.has_surplus = self.has_surplus or ended
            self.is_malformed = not self.has_surplus

    def _on_body(self, buf: bytearray) -> None:
        self._body_bytes += buf

    def _on_header_field(self, string: str) -> None:
        # Trailers are counted but not kept, since nothing reads them.
        self._count_head_part()
        if not self.head_complete:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.head_complete:
            super()._on_header_value(string)

    def _on_message_begin(self) -> None:
        if self.message_complete and self.head_complete:
            self.has_surplus = True
            raise ValueError('further bytes follow the response')
        self._count_head_part()
        super()._on_message_begin()

    def _count_head_part(self) -> None:
        self._head_parts += 1
        if self._head_parts > RESPONSE_HEADERS_MAX:
            raise ValueError(
                f'the response has over {RESPONSE_HEADERS_MAX} headers'
            )

    @property
    def _framed(self) -> bool:
        if self.method == 'HEAD' or self.get_code() in _BODILESS:
            return True
        return 'content-length' in self or 'transfer-encoding' in self
