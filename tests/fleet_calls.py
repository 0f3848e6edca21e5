"""Requests of clients to a fleet, and checks of the responses of the stand-ins."""

import hashlib

import msgspec

from lacewingmill.adapters.http_client import HttpReply
from standins.executors import TaskResponse

TIMEOUT_S = 60.0


def send(fleet, path, team, body, key="", deadline_s=30.0, address="", **headers) -> HttpReply:
    """Send a request to the balancer, or to an entry VM whose address is given.

    :param deadline_s: time that the fleet has for the request, in seconds.
    :param headers: further headers.
    """
    fields = {
        "Content-Type": "application/json",
        "Lacewingmill-Team": team,
        "Lacewingmill-Deadline": str(deadline_s),
        **headers,
    }
    if key:
        fields["Idempotency-Key"] = key
    return fleet.client.call(
        address or fleet.ports.balancer,
        "POST",
        path,
        body=body,
        headers=fields,
        timeout_s=TIMEOUT_S,
    )


def assert_response_matches(reply: HttpReply, body: bytes, key: str) -> TaskResponse:
    """Check that a reply is the response to a request, and return its decoded body."""
    assert reply.status == 200, reply.body
    response = msgspec.json.decode(reply.body, type=TaskResponse)
    assert response.key == key
    assert response.sha256 == hashlib.sha256(body).hexdigest()
    assert response.length == len(body)
    return response
