"""Parser of an upstream's answer, fed with the bytes of one connection."""

from http import HTTPStatus
from typing import Final

from geventhttpclient.response import HTTPParseError, HTTPResponse

# More than any known upstream sends.
RESPONSE_HEAD_MAX_BYTES: Final = 65536

_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ResponseParser(HTTPResponse):
    """Keep one answer apart from all that follows it on the connection.

    The library's parser starts over when a second answer arrives and would
    mix the headers and bodies of both.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.has_surplus = False
        self.is_malformed = False
        self._body_bytes = bytearray()
        self._head_bytes = 0

    def parse(self, received: bytes) -> None:
        """Parse received bytes; no bytes at all mark the end."""
        if self.head_complete:
            self._parse(received)
            return
        room_bytes = RESPONSE_HEAD_MAX_BYTES - self._head_bytes
        self._head_bytes += len(received)
        self._parse(received[:room_bytes])
        if self._head_bytes <= RESPONSE_HEAD_MAX_BYTES or self.is_malformed:
            return
        if self.head_complete:
            self._parse(received[room_bytes:])
        else:
            self.is_malformed = True

    def pop_body(self) -> bytes:
        """Return the part of the body that was parsed since the last call."""
        part = bytes(self._body_bytes)
        self._body_bytes.clear()
        return part

    @property
    def head_complete(self) -> bool:
        """Tell whether the head of the final answer has arrived."""
        interim = self.get_code() < HTTPStatus.OK
        return self.headers_complete and not interim

    @property
    def is_complete(self) -> bool:
        """Tell whether the answer ended as its own framing announced.

        An answer that ends with its connection can't be told apart from a
        truncated one.
        """
        return self.message_complete and self._framed

    @property
    def has_length(self) -> bool:
        """Tell whether the head says where the answer ends."""
        return 'content-length' in self

    @property
    def can_reuse_connection(self) -> bool:
        """Tell whether the connection may carry another request.

        Bytes that follow the answer end the parser, and with it the
        connection.
        """
        return (
            self.is_complete
            and not self.has_surplus
            and self.should_keep_alive()
        )

    def header(self, name: str) -> str:
        """Return the value of a header, or nothing if it is not single."""
        field = self.get(name, '')
        return field if isinstance(field, str) else ''

    def _parse(self, received: bytes) -> None:
        try:
            self.feed(received)
        except (HTTPParseError, ValueError):
            # After an answer that closes the connection the parser refuses
            # any byte; the answer is whole all the same.
            ended = self.head_complete and self.message_complete
            self.has_surplus = self.has_surplus or ended
            self.is_malformed = not self.has_surplus

    def _on_body(self, buf: bytearray) -> None:
        self._body_bytes += buf

    def _on_header_field(self, string: str) -> None:
        # Trailers are dropped: nothing reads them, and they may be endless.
        if not self.head_complete:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.head_complete:
            super()._on_header_value(string)

    def _on_message_begin(self) -> None:
        if self.message_complete and self.head_complete:
            self.has_surplus = True
            raise ValueError('bytes follow the answer')
        super()._on_message_begin()

    @property
    def _framed(self) -> bool:
        if self.method == 'HEAD' or self.get_code() in _BODILESS:
            return True
        return 'content-length' in self or 'transfer-encoding' in self
