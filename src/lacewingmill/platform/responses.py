"""Decoding of the platform's JSON responses into typed messages."""

from typing import TypeVar

import msgspec

from lacewingmill.adapters.http_client import HttpReply
from lacewingmill.exceptions import TransportError

__all__ = ["decode_answer"]

Message = TypeVar("Message")


def decode_response(
    reply: HttpReply, message_type: type[Message], *, step: str, peer: str
) -> Message:
    """Decode the body of a response.

    :param message_type: type of the message.
    :param step: step to name in the error.
    :param peer: peer to name in the error.
    :raises TransportError: when the body is not a message of this type.
    """
    try:
        return msgspec.json.decode(reply.body, type=message_type)
    except msgspec.DecodeError as exc:
        raise TransportError(
            f"cannot decode the response with status {reply.status}: {exc}", step=step, peer=peer
        ) from exc
