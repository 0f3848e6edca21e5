"""HTTP handler of the control address, for probes, operators and other entry VMs."""

from collections.abc import Callable
from functools import singledispatch
from urllib.parse import parse_qs

import attrs

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
    MessageInvalid,
    NotOwner,
    PublishConflict,
    StoreUnavailable,
)
from lacewingmill.membership.heartbeats import Heartbeats
from lacewingmill.operations import Operations, PublishRequest
from lacewingmill.status import CellStatus, VmStatus, describe_cell

__all__ = ["ControlHandler"]

MAX_WAIT_S = 30.0
MAX_HISTORY_HOURS = 7 * 24
CELL_JOBS_PATH = "/cell/jobs"
MSGPACK_CONTENT_TYPE = "application/msgpack"


class ControlHandler:
    """Handles the requests at the control address of an entry VM.

    :param status: returns the status that ``lacewingmill status`` shows for this VM.
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
        """Handle a request at the control address."""
        if req.path.startswith("/cell/"):
            return self._handle_cell(req)
        if req.path.startswith("/operate/"):
            return self._handle_operate(req)
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
            return HttpResponse(
                200, encode(self._catalogue.configuration.bundle), MSGPACK_CONTENT_TYPE
            )
        if req.path == "/peer/heartbeat":
            return self._handle_heartbeat(req)
        return HttpResponse(404)

    def _handle_heartbeat(self, req: HttpRequest) -> HttpResponse:
        try:
            return HttpResponse(200, self._heartbeats.receive(req.body), MSGPACK_CONTENT_TYPE)
        except MessageInvalid:
            return HttpResponse(400, b"not a heartbeat")

    def _handle_operate(self, req: HttpRequest) -> HttpResponse:
        try:
            if req.path == "/operate/publish" and req.method == "POST":
                result = self._operations.publish(decode(req.body, PublishRequest))
                return HttpResponse(200, encode(result), MSGPACK_CONTENT_TYPE)
            if req.path == "/operate/audit":
                return HttpResponse(200, encode(self._operations.audit()), MSGPACK_CONTENT_TYPE)
            if req.path == "/operate/history":
                return HttpResponse(200, encode(self._read_history(req)), MSGPACK_CONTENT_TYPE)
            if req.path == "/operate/fleet":
                return HttpResponse(200, encode(self._operations.fleet()), MSGPACK_CONTENT_TYPE)
        except MessageInvalid as exc:
            return HttpResponse(400, str(exc).encode(), "text/plain")
        except LacewingmillError as exc:
            return HttpResponse(_error_status(exc), str(exc).encode(), "text/plain")
        return HttpResponse(404)

    def _read_history(self, req: HttpRequest) -> tuple[HistoryEntry, ...]:
        query = parse_qs(req.query)
        hours = int(query.get("hours", ["24"])[0])
        return self._operations.history(min(hours, MAX_HISTORY_HOURS), query.get("job", [""])[0])

    def _handle_cell(self, req: HttpRequest) -> HttpResponse:
        """Handle a request to the owner of the cell.

        The body is checked against the digest in the headers, if there is one. The response carries
        the id of the request and a digest of its own body, so that the client can detect a
        response to another request or a corrupted one.
        """
        if req.headers.get(DIGEST_HEADER, digest_of(req.body)) != digest_of(req.body):
            resp = HttpResponse(400, b"request body does not match its digest")
        else:
            resp = self._route_cell(req)
        resp_headers = {
            REQUEST_HEADER: req.headers.get(REQUEST_HEADER, ""),
            DIGEST_HEADER: digest_of(resp.body),
        }
        return attrs.evolve(resp, headers=resp_headers)

    def _route_cell(self, req: HttpRequest) -> HttpResponse:
        try:
            if req.path == "/cell/status":
                return HttpResponse(200, encode_json(self._cell_status()))
            if req.path == CELL_JOBS_PATH and req.method == "POST":
                self._cell.submit(decode(req.body, SubmitJob))
                return HttpResponse(202)
            if req.path.startswith(CELL_JOBS_PATH + "/"):
                return self._handle_job(req, req.path[len(CELL_JOBS_PATH) + 1 :])
        except NotOwner:
            return HttpResponse(STATUS_NOT_OWNER)
        except MessageInvalid as exc:
            return HttpResponse(400, str(exc).encode())
        return HttpResponse(404)

    def _handle_job(self, req: HttpRequest, job_id: str) -> HttpResponse:
        if req.method == "DELETE":
            self._cell.cancel(job_id)
            return HttpResponse()
        query = parse_qs(req.query)
        wait_s = min(float(query.get("wait_s", ["0"])[0]), MAX_WAIT_S)
        report = self._cell.report(job_id, wait_s)
        if report is None:
            return HttpResponse(404)
        if "json" in query:
            return HttpResponse(200, encode_json(report))
        return HttpResponse(200, encode(report), MSGPACK_CONTENT_TYPE)

    def _cell_status(self) -> CellStatus:
        driver = self._cell.driver
        if driver is None:
            raise NotOwner("this VM does not own the cell", step="status")
        return describe_cell(driver)


@singledispatch
def _error_status(exc: LacewingmillError) -> int:
    return 500


@_error_status.register
def _(exc: DocumentInvalid) -> int:
    return 422


@_error_status.register
def _(exc: PublishConflict) -> int:
    return 409


@_error_status.register
def _(exc: StoreUnavailable) -> int:
    return 503
