"""Encoding of typed messages, by msgspec."""

from typing import Any, TypeVar

import msgspec

__all__ = ["decode", "decode_json", "encode", "encode_json"]

T = TypeVar("T")


def encode(message: Any) -> bytes:
    """Encode an attrs message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack into ``kind``.

    :raises msgspec.ValidationError: when the data does not describe a ``kind``.
    """
    return msgspec.msgpack.decode(data, type=kind)


def encode_json(message: Any) -> bytes:
    """Encode an attrs message as JSON."""
    return msgspec.json.encode(message)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON into ``kind``.

    :raises msgspec.ValidationError: when the data does not describe a ``kind``.
    """
    return msgspec.json.decode(data, type=kind)
