"""Encodes and decodes typed messages with msgspec.

Everything that comes from another process or from the store is decoded here, so that arbitrary
bytes raise a single error.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lacewingmill.exceptions import MessageInvalid

__all__ = ["MAX_MESSAGE_BYTES", "convert", "decode", "decode_json", "encode", "encode_json"]

# The largest valid messages are pages of the platform's store: 1 MB of values in base64.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

T = TypeVar("T")


def encode(message: Any) -> bytes:
    """Encode an attrs message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes, message_type: type[T]) -> T:
    """Decode a message of a type from MessagePack.

    :raises MessageInvalid: when the data is not a valid message of the type.
    """
    return _decode(msgspec.msgpack.decode, data, message_type)


def encode_json(message: Any) -> bytes:
    """Encode an attrs message as JSON."""
    return msgspec.json.encode(message)


def decode_json(data: bytes, message_type: type[T] = Any) -> T:
    """Decode a message of a type from JSON.

    :raises MessageInvalid: when the data is not a valid message of the type.
    """
    return _decode(msgspec.json.decode, data, message_type)


def convert(value: Any, message_type: type[T], *, strict: bool = True) -> T:
    """Convert a decoded value to a type.

    :param strict: whether a number in a string is rejected.
    :raises MessageInvalid: when the value cannot be converted.
    """
    try:
        return msgspec.convert(value, message_type, strict=strict)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise MessageInvalid(_reason(exc), step="decode") from exc


def _decode(decoder: Callable[..., T], data: bytes, message_type: type[T]) -> T:
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageInvalid(
            f"{len(data)} bytes are more than the limit of {MAX_MESSAGE_BYTES}", step="decode"
        )
    try:
        return decoder(data, type=message_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise MessageInvalid(_reason(exc), step="decode") from exc


def _reason(exc: Exception) -> str:
    """Return why a message is invalid; msgspec skips and decodes nested values recursively."""
    return "the message is nested too deeply" if isinstance(exc, RecursionError) else str(exc)
