"""The control side of an entry VM: probes, operators, other entry VMs."""

from collections.abc import Callable
from functools import singledispatch
from urllib.parse import parse_qs

import attrs
import msgspec

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.adapters.metrics import Metrics
from lacewingmill.adapters.peers import (
    DIGEST_HEADER,
    REQUEST_HEADER,
    STATUS_NOT_OWNER,
    digest_of,
)
from lacewingmill.catalogue.current import CurrentCatalogue
from lacewingmill.cells.cell import Cell
from lacewingmill.cells.history import HistoryEntry
from lacewingmill.cells.messages import SubmitJob
from lacewingmill.codec import decode, encode, encode_json
from lacewingmill.exceptions import (
    DocumentInvalid,
    LacewingmillError,
    NotOwner,
    PublishConflict,
    StoreUnavailable,
)
from lacewingmill.membership.heartbeats import Heartbeats
from lacewingmill.operations import Operations, PublishRequest
from lacewingmill.status import CellStatus, VmStatus, describe_cell

__all__ = ["Control"]

LONGEST_WAIT_S = 30.0
LONGEST_HISTORY_H = 7 * 24
CELL_JOBS = "/cell/jobs"
BINARY = "application/msgpack"


class ControlHandler:
    """Answers on the control address.

    :param status: returns what ``lacewingmill status`` shows of this VM.
    :param why_not_ready: returns why the VM is not ready, or an empty string.
    """

    def __init__(
        self,
        cell: Cell,
        catalogue: CurrentCatalogue,
        heartbeats: Heartbeats,
        metrics: Metrics,
        operations: Operations,
        status: Callable[[], VmStatus],
        why_not_ready: Callable[[], str],
    ):
        self._cell = cell
        self._catalogue = catalogue
        self._heartbeats = heartbeats
        self._metrics = metrics
        self._operations = operations
        self._status = status
        self._why_not_ready = why_not_ready

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer a request on the control address."""
        if req.path.startswith("/cell/"):
            return self._guard(req)
        if req.path.startswith("/operate/"):
            return self._operate(req)
        if req.path == "/live":
            return HttpResponse(200, b"live", "text/plain")
        if req.path == "/ready":
            reason = self._why_not_ready()
            return HttpResponse(503 if reason else 200, (reason or "ready").encode(), "text/plain")
        if req.path == "/metrics":
            return HttpResponse(200, self._metrics.render(), "text/plain; version=0.0.4")
        if req.path == "/status":
            return HttpResponse(200, encode_json(self._status()))
        if req.path == "/peer/catalogue":
            return HttpResponse(200, encode(self._catalogue.configuration.bundle), BINARY)
        if req.path == "/peer/heartbeat":
            return self._heartbeat(req)
        return HttpResponse(404)

    def _heartbeat(self, req: HttpRequest) -> HttpResponse:
        try:
            return HttpResponse(200, self._heartbeats.receive(req.body), BINARY)
        except msgspec.MsgspecError:
            return HttpResponse(400, b"not a heartbeat")

    def _operate(self, req: HttpRequest) -> HttpResponse:
        try:
            if req.path == "/operate/publish" and req.method == "POST":
                result = self._operations.publish(decode(req.body, PublishRequest))
                return HttpResponse(200, encode(result), BINARY)
            if req.path == "/operate/audit":
                return HttpResponse(200, encode(self._operations.audit()), BINARY)
            if req.path == "/operate/history":
                return HttpResponse(200, encode(self._read_history(req)), BINARY)
            if req.path == "/operate/fleet":
                return HttpResponse(200, encode(self._operations.fleet()), BINARY)
        except LacewingmillError as exc:
            return HttpResponse(_operate_status(exc), str(exc).encode(), "text/plain")
        except msgspec.MsgspecError as exc:
            return HttpResponse(400, str(exc).encode(), "text/plain")
        return HttpResponse(404)

    def _read_history(self, req: HttpRequest) -> tuple[HistoryEntry, ...]:
        query = parse_qs(req.query)
        hours = int(query.get("hours", ["24"])[0])
        return self._operations.history(min(hours, LONGEST_HISTORY_H), query.get("job", [""])[0])

    def _guard(self, req: HttpRequest) -> HttpResponse:
        """Check a request between own processes, and mark its answer with id and digest."""
        if req.headers.get(DIGEST_HEADER, digest_of(req.body)) != digest_of(req.body):
            answer = HttpResponse(400, b"request arrived damaged")
        else:
            answer = self._cell_call(req)
        marks = {
            REQUEST_HEADER: req.headers.get(REQUEST_HEADER, ""),
            DIGEST_HEADER: digest_of(answer.body),
        }
        return attrs.evolve(answer, headers=marks)

    def _cell_call(self, req: HttpRequest) -> HttpResponse:
        try:
            if req.path == "/cell/status":
                return HttpResponse(200, encode_json(self._cell_status()))
            if req.path == CELL_JOBS and req.method == "POST":
                self._cell.submit(decode(req.body, SubmitJob))
                return HttpResponse(202)
            if req.path.startswith(CELL_JOBS + "/"):
                return self._job_call(req, req.path[len(CELL_JOBS) + 1 :])
        except NotOwner:
            return HttpResponse(STATUS_NOT_OWNER)
        except msgspec.MsgspecError as exc:
            return HttpResponse(400, str(exc).encode())
        return HttpResponse(404)

    def _job_call(self, req: HttpRequest, job_id: str) -> HttpResponse:
        if req.method == "DELETE":
            self._cell.cancel(job_id)
            return HttpResponse()
        query = parse_qs(req.query)
        wait_s = min(float(query.get("wait_s", ["0"])[0]), LONGEST_WAIT_S)
        report = self._cell.report(job_id, wait_s)
        if report is None:
            return HttpResponse(404)
        if "json" in query:
            return HttpResponse(200, encode_json(report))
        return HttpResponse(200, encode(report), BINARY)

    def _cell_status(self) -> CellStatus:
        driver = self._cell.driver
        if driver is None:
            raise NotOwner("this VM does not own the cell", step="status")
        return describe_cell(driver)


@singledispatch
def _operate_status(exc: LacewingmillError) -> int:
    return 500


@_operate_status.register
def _(exc: DocumentInvalid) -> int:
    return 422


@_operate_status.register
def _(exc: PublishConflict) -> int:
    return 409


@_operate_status.register
def _(exc: StoreUnavailable) -> int:
    return 503
