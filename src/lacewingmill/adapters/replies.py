"""Decoding of HTTP responses into typed messages."""

from collections.abc import Callable
from typing import Any, TypeVar

from lacewingmill.adapters.http_client import HttpReply
from lacewingmill.codec import decode
from lacewingmill.exceptions import MessageInvalid, TransportError

__all__ = ["decode_reply"]

Message = TypeVar("Message")


def decode_reply(
    reply: HttpReply,
    message_type: type[Message],
    *,
    step: str,
    peer: str,
    decoder: Callable[[bytes, type], Any] = decode,
) -> Message:
    """Decode the body of a response.

    :param message_type: type of the message.
    :param step: step to name in the error.
    :param peer: peer to name in the error.
    :param decoder: decodes the format of the body.
    :raises TransportError: when the body is not a message of this type.
    """
    try:
        return decoder(reply.body, message_type)
    except MessageInvalid as exc:
        raise TransportError(
            f"cannot decode the response with status {reply.status}: {exc.message}",
            step=step,
            peer=peer,
        ) from exc
