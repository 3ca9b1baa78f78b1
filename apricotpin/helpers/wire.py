"""Conversion between message classes and thrift structs of the same name."""

import io
import struct
import types
import zlib
from importlib import resources
from typing import Any, Final

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.transport.memory import TCyMemoryBuffer

from apricotpin.messages import (
    claims,
    configuration,
    feeds,
    fleet,
    hosts,
    prompts,
    weights,
)


def _load_idl() -> Any:
    # Read as a resource, since the one-file program has no file of this path.
    text = resources.files('apricotpin.wire').joinpath('peer.thrift')
    return thriftpy2.load_fp(
        io.StringIO(text.read_text()),
        module_name='peer_thrift',
    )


PEER_IDL: Final = _load_idl()


def _struct_names() -> list[str]:
    structs = PEER_IDL.__thrift_meta__['structs']
    return [struct.__name__ for struct in structs]


def _message_classes() -> types.MappingProxyType[str, type]:
    modules = (claims, configuration, feeds, fleet, hosts, prompts, weights)
    return types.MappingProxyType(
        {
            name: getattr(module, name)
            for name in _struct_names()
            for module in modules
            if hasattr(module, name)
        }
    )


_MESSAGE_CLASSES: Final = _message_classes()


def to_wire(message: Any) -> Any:
    """Return the thrift struct for a message, list or plain value."""
    if isinstance(message, list):
        return [to_wire(entry) for entry in message]
    name = type(message).__name__
    if name not in _MESSAGE_CLASSES:
        return message
    wired = getattr(PEER_IDL, name)()
    for field in message.__slots__:
        setattr(wired, field, to_wire(getattr(message, field)))
    return wired


def from_wire(wired: Any) -> Any:
    """Return the message for a thrift struct, list or plain value."""
    if isinstance(wired, list):
        return [from_wire(entry) for entry in wired]
    message_class = _MESSAGE_CLASSES.get(type(wired).__name__)
    if message_class is None:
        return wired
    fields = {
        field: from_wire(getattr(wired, field))
        for field in message_class.__slots__
    }
    return message_class(**fields)


_CHECKSUM: Final = struct.Struct('>I')
_DATAGRAM_FIELDS: Final = types.MappingProxyType(
    {fleet.EntryHello: 'entry_hello', fleet.LoadReport: 'load_report'}
)


def encode_datagram(message: Any) -> bytes:
    """Encode a message as a datagram that holds nothing else."""
    field = _DATAGRAM_FIELDS[type(message)]
    buffer = TCyMemoryBuffer()
    PEER_IDL.Datagram(**{field: to_wire(message)}).write(
        TCyBinaryProtocol(buffer)
    )
    content = buffer.getvalue()
    return _CHECKSUM.pack(zlib.crc32(content)) + content


def decode_datagram(received: bytes) -> Any:
    """Decode a datagram; return None if it holds no valid message.

    The checksum is verified first: the decoder trusts any length in the
    bytes, so with bytes from elsewhere it would run for minutes, and it fills
    up a truncated message with zeros.
    """
    content = received[_CHECKSUM.size :]
    if received[: _CHECKSUM.size] != _CHECKSUM.pack(zlib.crc32(content)):
        return None
    try:
        datagram = PEER_IDL.Datagram()
        datagram.read(TCyBinaryProtocol(TCyMemoryBuffer(content)))
    except Exception:
        # thriftpy2 raises several unrelated types for malformed input.
        return None
    for field in _DATAGRAM_FIELDS.values():
        wired = getattr(datagram, field)
        if wired is not None:
            return from_wire(wired)
    return None
