"""Calls of callers against a fleet, checked against what stand-ins answer."""

import hashlib

import msgspec

from lacewingmill.adapters.http_client import HttpReply
from standins.executors import TaskResponse

TIMEOUT_S = 60.0


def send(fleet, path, team, body, key="", deadline_s=30.0, address="", **headers) -> HttpReply:
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
    assert reply.status == 200, reply.body
    answer = msgspec.json.decode(reply.body, type=TaskResponse)
    assert answer.key == key
    assert answer.sha256 == hashlib.sha256(body).hexdigest()
    assert answer.length == len(body)
    return answer
