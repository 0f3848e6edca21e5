"""Encodes and decodes typed messages with msgspec."""

from typing import Any, TypeVar

import msgspec

__all__ = ["decode", "decode_json", "encode", "encode_json"]

T = TypeVar("T")


def encode(message: Any) -> bytes:
    """Encode an attrs message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes, message_type: type[T]) -> T:
    """Decode a message of a type from MessagePack.

    :raises msgspec.ValidationError: when the data is not a valid message of the type.
    """
    return msgspec.msgpack.decode(data, type=message_type)


def encode_json(message: Any) -> bytes:
    """Encode an attrs message as JSON."""
    return msgspec.json.encode(message)


def decode_json(data: bytes, message_type: type[T]) -> T:
    """Decode a message of a type from JSON.

    :raises msgspec.ValidationError: when the data is not a valid message of the type.
    """
    return msgspec.json.decode(data, type=message_type)
