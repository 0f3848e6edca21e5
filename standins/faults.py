"""Fault switches shared by the stand-ins."""

import random
from urllib.parse import parse_qs

import attrs
import gevent
import msgspec

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse

__all__ = ["Faults", "apply_faults", "query_value"]

FROZEN_S = 3600.0


@attrs.define
class Faults:
    """What a stand-in does wrong.

    :param down: answer 503 to everything.
    :param freeze: accept connections and never answer.
    :param slow_s: delay before each answer, in seconds.
    :param refuse: refuse work (409 or 500), while health looks good.
    :param lose_answers: share of requests that take effect and are never answered.
    :param silence: switching it on makes all connections used so far silent for good, while new
        ones work.
    :param fail_tasks: workers only: every task fails as soon as it starts.
    """

    down: bool = False
    freeze: bool = False
    slow_s: float = 0.0
    refuse: bool = False
    lose_answers: float = 0.0
    silence: bool = False
    fail_tasks: bool = False
    connections: set[str] = attrs.field(factory=set)
    silenced: set[str] = attrs.field(factory=set)


def query_value(req: HttpRequest, name: str, default: str = "") -> str:
    """Return one value of the query string."""
    return parse_qs(req.query).get(name, [default])[0]


def apply_faults(faults: Faults, rng: random.Random, handle, req: HttpRequest) -> HttpResponse:
    """Answer a request as the switches say; ``/faults`` itself always answers.

    :param handle: the stand-in's own handler.
    """
    if req.path == "/faults":
        return set_faults(faults, req)
    if faults.freeze or req.connection in faults.silenced:
        gevent.sleep(FROZEN_S)
    faults.connections.add(req.connection)
    if faults.slow_s:
        gevent.sleep(faults.slow_s)
    if faults.down:
        return HttpResponse(503, b"down")
    answer = handle(req)
    if faults.lose_answers and rng.random() < faults.lose_answers:
        gevent.sleep(FROZEN_S)
    return answer


def set_faults(faults: Faults, req: HttpRequest) -> HttpResponse:
    """Show the switches, or set those that the JSON body names."""
    if req.method == "POST":
        for name, value in msgspec.json.decode(req.body).items():
            setattr(faults, name, value)
        if faults.silence:
            faults.silenced |= faults.connections
            faults.silence = False
    shown = attrs.evolve(faults, connections=set())
    return HttpResponse(200, msgspec.json.encode(shown))
