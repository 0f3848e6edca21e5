"""Stand-in for the executors of a service, which records executions in a shared ledger."""

import hashlib
import random

import attrs
import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from standins.faults import Faults, apply_faults

__all__ = ["ExecutorStandin", "Execution", "TaskResponse", "decode_run_time", "encode_response"]

SLOTS = 8


@attrs.frozen
class TaskResponse:
    """Response of an executor or a gang: enough to check that it belongs to the request.

    :param key: idempotency key of the request.
    :param sha256: hexadecimal digest of the request body.
    :param length: length of the request body, in bytes.
    :param answered_by: name of the executor or worker.
    """

    key: str
    sha256: str
    length: int
    answered_by: str


@attrs.frozen
class Execution:
    """An entry of the ledger: one execution of an ordinary request or of a member of a gang.

    :param key: idempotency key of the request.
    :param who: name of the executor or worker.
    :param path: path of an ordinary request, or id of the gang.
    :param rank: rank of the member in its gang; 0 for ordinary requests.
    :param size: number of members of the gang; 1 for ordinary requests.
    """

    key: str
    who: str
    path: str
    rank: int = 0
    size: int = 1


def encode_response(key: str, body: bytes, answered_by: str) -> bytes:
    """Encode the response to a request, as JSON."""
    return msgspec.json.encode(
        TaskResponse(key, hashlib.sha256(body).hexdigest(), len(body), answered_by)
    )


def decode_run_time(body: bytes, default: float) -> float:
    """Return ``run_s`` of a JSON body, or the default if it has no such number, in seconds."""
    try:
        return float(msgspec.json.decode(body).get("run_s", default))
    except (msgspec.MsgspecError, AttributeError, TypeError, ValueError):
        return default


class ExecutorStandin:
    """An executor with 8 slots.

    :param ledger: list to which executions are appended.
    :param run_s: run time of a request whose body has no ``run_s``, in seconds.
    """

    def __init__(self, name: str, address: str, ledger: list[Execution], run_s: float = 0.005):
        self.faults = Faults()
        self._name = name
        self._ledger = ledger
        self._run_s = run_s
        self._slots = BoundedSemaphore(SLOTS)
        self._rng = random.Random(name)
        self._address = address
        self._server = HttpServer(address, self._handle)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def kill(self) -> None:
        """Stop listening and drop all connections."""
        self._server.stop()

    def revive(self) -> None:
        """Listen again after :meth:`kill`."""
        self._server = HttpServer(self._address, self._handle)
        self._server.start()

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
