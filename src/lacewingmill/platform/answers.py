"""Decodes the platform's answers into typed messages."""

from typing import TypeVar

import msgspec

from lacewingmill.adapters.http_client import HttpReply
from lacewingmill.exceptions import TransportError

__all__ = ["decode_answer"]

Message = TypeVar("Message")


def decode_answer(reply: HttpReply, kind: type[Message], *, step: str, peer: str) -> Message:
    """Return the message of an answer.

    :raises TransportError: when its body does not hold one.
    """
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as exc:
        raise TransportError(
            f"answer {reply.status} cannot be read: {exc}", step=step, peer=peer
        ) from exc
