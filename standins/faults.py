"""Fault switches shared by the stand-ins."""

import random
from urllib.parse import parse_qs

import attrs
import gevent
import msgspec

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse

__all__ = ["Faults", "apply_faults", "query_value"]

FREEZE_S = 3600.0


@attrs.define
class Faults:
    """Fault switches of a stand-in.

    :param down: respond with 503 to every request.
    :param freeze: accept connections and never respond.
    :param slow_s: delay before each response, in seconds.
    :param refuse: refuse work, while the target still looks healthy: executors respond with 503,
        workers with 500.
    :param lose_answers: share of requests (0 to 1) that take effect and get no response.
    :param silence: when set, the connections used so far get no response any more, while new ones
        work; the switch resets itself.
    :param fail_tasks: workers only: running tasks fail at once.
    :param connections: connections used so far.
    :param silenced: connections that get no response any more.
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
    """Return the first value of a query parameter."""
    return parse_qs(req.query).get(name, [default])[0]


def apply_faults(faults: Faults, rng: random.Random, handle, req: HttpRequest) -> HttpResponse:
    """Handle a request subject to the fault switches, which do not affect ``/faults`` itself.

    :param handle: handler of the stand-in, which gets the request.
    """
    if req.path == "/faults":
        return set_faults(faults, req)
    if faults.freeze or req.connection in faults.silenced:
        gevent.sleep(FREEZE_S)
    faults.connections.add(req.connection)
    if faults.slow_s:
        gevent.sleep(faults.slow_s)
    if faults.down:
        return HttpResponse(503, b"down")
    response = handle(req)
    if faults.lose_answers and rng.random() < faults.lose_answers:
        gevent.sleep(FREEZE_S)
    return response


def set_faults(faults: Faults, req: HttpRequest) -> HttpResponse:
    """Return the switches; a POST first sets those that its JSON body names."""
    if req.method == "POST":
        for name, value in msgspec.json.decode(req.body).items():
            setattr(faults, name, value)
        if faults.silence:
            faults.silenced |= faults.connections
            faults.silence = False
    shown = attrs.evolve(faults, connections=set())
    return HttpResponse(200, msgspec.json.encode(shown))
