"""Stand-in for executors of a service, with a ledger of executions."""

import hashlib
import random

import attrs
import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from standins.faults import Faults, apply_faults

__all__ = ["Answer", "ExecutorStandin", "Execution", "describe_answer", "task_seconds"]

SLOTS = 8


@attrs.frozen
class TaskResponse:
    """What executors and gangs answer: enough to check that it belongs to the request."""

    key: str
    sha256: str
    length: int
    answered_by: str


@attrs.frozen
class Execution:
    """A row of a ledger.

    :param rank: which member of a gang ran; 0 for ordinary requests.
    :param size: how many members the gang has; 1 for ordinary requests.
    """

    key: str
    who: str
    path: str
    rank: int = 0
    size: int = 1


def encode_response(key: str, body: bytes, who: str) -> bytes:
    """Encode the answer to a request."""
    return msgspec.json.encode(TaskResponse(key, hashlib.sha256(body).hexdigest(), len(body), who))


def decode_run_time(body: bytes, default: float) -> float:
    """Read ``run_s`` from a JSON body, in seconds."""
    try:
        return float(msgspec.json.decode(body).get("run_s", default))
    except (msgspec.MsgspecError, AttributeError, TypeError, ValueError):
        return default


class ExecutorStandin:
    """One executor with 8 slots.

    :param run_s: time per request unless the body says otherwise, in seconds.
    """

    def __init__(self, name: str, address: str, ledger: list[Execution], run_s: float = 0.005):
        self.faults = Faults()
        self._name = name
        self._ledger = ledger
        self._run_s = run_s
        self._slots = BoundedSemaphore(SLOTS)
        self._rng = random.Random(name)
        self._address = address
        self._service = HttpServer(address, self._handle)

    def start(self) -> None:
        """Listen."""
        self._service.start()

    def kill(self) -> None:
        """Die: the listener and all connections go."""
        self._service.stop()

    def revive(self) -> None:
        """Start again."""
        self._service = HttpServer(self._address, self._handle)
        self._service.start()

    def _handle(self, req: HttpRequest) -> HttpResponse:
        return apply_faults(self.faults, self._rng, self._execute, req)

    def _execute(self, req: HttpRequest) -> HttpResponse:
        if self.faults.refuse:
            return HttpResponse(503, b"refused before running")
        key = req.headers.get("idempotency-key", "")
        with self._slots:
            self._ledger.append(Execution(key, self._name, req.path))
            gevent.sleep(decode_run_time(req.body, self._run_s))
        return HttpResponse(
            200, encode_response(key, req.body, self._name), headers={"Idempotency-Key": key}
        )
