"""HTTP handlers of the job API in the platform's format, and of the readiness check."""

import re
from collections.abc import Callable

import attrs

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.codec import decode_json, encode_json
from lacewingmill.exceptions import (
    JobRefused,
    MessageInvalid,
    NoRoom,
    OutcomeUnknown,
    RequestInvalid,
)
from lacewingmill.jobs.job_api import JobApi
from lacewingmill.jobs.model import JobTiming, Queue, Step, Submission
from lacewingmill.platform.fields import Clock, Duration, Integer

__all__ = ["JobApiHandler", "ReadyHandler", "decode_job"]

DEADLINE_HEADER = "x-deadline-ms"
AUTH_SCHEME = "token "
JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
MAX_SPEC_BYTES = 4000
MAX_STEPS = 1000
MAX_TASKS = 100_000
DEFAULT_DEADLINE_S = 3.0
MIN_DEADLINE_S = 0.001


@attrs.frozen
class _Step:
    count: Integer = 1
    cpu: Integer = 0  # thousandths of a core
    mem_mb: Integer = 0
    gpu: Integer = 0
    est_runtime_ms: Duration = 0.0
    after: list[Integer] = attrs.field(factory=list)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    data_rack: str = ""
    max_per_server: Integer = 0
    long_running: bool = False
    fills: bool = False


@attrs.frozen
class _Job:
    spec: str
    steps: list[_Step]
    times: Integer = 0
    start_at_ms: Clock = 0.0
    interval_ms: Duration = 0.0


class JobApiHandler:
    """Handles requests to submit, query, cancel and count jobs."""

    def __init__(self, api: JobApi):
        self._api = api

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle a request."""
        try:
            return self._dispatch(req)
        except RequestInvalid as exc:
            return _error(exc.status, exc.message)
        except JobRefused as exc:
            response = _error(429 if isinstance(exc, NoRoom) else 503, exc.message)
            return attrs.evolve(
                response, headers={"Retry-After": str(max(1, round(exc.retry_after_s)))}
            )
        except OutcomeUnknown as exc:
            return _error(504, exc.message)

    def _dispatch(self, req: HttpRequest) -> HttpResponse:
        host = req.headers.get("host", "").partition(":")[0].lower()
        route = self._api.resolve(host, req.path, _api_key(req))
        if not route.subpath and req.method == "GET":
            return _json({"waiting": self._api.waiting(route.queue.name)})
        if not JOB_ID_PATTERN.match(route.subpath):
            raise RequestInvalid(f"{route.subpath!r} is not a job id", status=404)
        return self._handle_job(req, route.queue, route.team, route.subpath)

    def _handle_job(self, req: HttpRequest, queue: Queue, team: str, job_id: str) -> HttpResponse:
        if req.method == "POST":
            submission = decode_job(req.body, queue, team, job_id)
            self._api.submit(submission, _deadline_s(req))
            return _json({})
        if req.method == "GET":
            state = self._api.state(job_id, team)
            if state is None:
                return _error(410, f"no job {job_id}")
            return _json({"state": state.value})
        if req.method == "DELETE":
            if self._api.cancel(job_id, team):
                return _json({})
            return _error(410, f"no job {job_id}")
        raise RequestInvalid(f"method {req.method} is not allowed", status=405)


class ReadyHandler:
    """Handles readiness checks of the platform's load balancer.

    :param why_not_ready: returns the reason why this VM must get no requests, or an empty string.
    """

    def __init__(self, why_not_ready: Callable[[], str]):
        self._why_not_ready = why_not_ready

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Respond with 200 when the VM is ready, otherwise with 503 and the reason."""
        reason = self._why_not_ready()
        return _error(503, reason) if reason else HttpResponse(200, b"{}")


def decode_job(body: bytes, queue: Queue, team: str, job_id: str) -> Submission:
    """Decode the body of a request that submits a job.

    :param queue: queue that the request is addressed to.
    :param team: name of the client's team; empty on a public queue.
    :raises RequestInvalid: when the body is not a valid job.
    """
    try:
        job = decode_json(body, _Job)
    except MessageInvalid as exc:
        raise RequestInvalid(f"body: {exc.message}") from exc
    if len(job.spec.encode("utf-8", "surrogatepass")) > MAX_SPEC_BYTES:
        raise RequestInvalid(f"body: spec is longer than {MAX_SPEC_BYTES} bytes")
    if not 1 <= len(job.steps) <= MAX_STEPS:
        raise RequestInvalid(f"body: a job has 1 to {MAX_STEPS} steps")
    if sum(step.count for step in job.steps) * max(1, job.times) > MAX_TASKS:
        raise RequestInvalid(f"body: a job has at most {MAX_TASKS} tasks")
    if job.times < 0 or job.interval_ms < 0:
        raise RequestInvalid("body: times and interval_ms must not be negative")
    return Submission(
        job_id,
        queue.name,
        queue.service,
        team,
        queue.priority,
        queue.attempts,
        queue.stretch,
        queue.objective_s,
        job.spec,
        tuple(_make_step(number, step) for number, step in enumerate(job.steps)),
        JobTiming(job.times, job.start_at_ms / 1000, job.interval_ms / 1000),
        advised=queue.advice is not None,
        public=queue.public,
    )


def _make_step(number: int, step: _Step) -> Step:
    where = f"body: steps[{number}]"
    if step.count < 1:
        raise RequestInvalid(f"{where}.count must be 1 or more")
    if min(step.cpu, step.mem_mb, step.gpu, step.est_runtime_ms, step.max_per_server) < 0:
        raise RequestInvalid(f"{where} has a negative value")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise RequestInvalid(f"{where}.after must name earlier steps")
    return Step(
        step.count,
        step.cpu / 1000,
        step.mem_mb / 1024,
        step.gpu,
        step.est_runtime_ms / 1000,
        tuple(step.after),
        step.checkpointing,
        step.gang,
        step.same_rack,
        step.requires,
        step.data_rack,
        step.max_per_server,
        step.long_running,
        step.fills,
    )


def _api_key(req: HttpRequest) -> str:
    value = req.headers.get("authorization", "")
    if not value.lower().startswith(AUTH_SCHEME):
        return ""
    return value[len(AUTH_SCHEME) :].strip()


def _deadline_s(req: HttpRequest) -> float:
    try:
        return max(MIN_DEADLINE_S, int(req.headers[DEADLINE_HEADER]) / 1000)
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_S


def _json(body: dict) -> HttpResponse:
    return HttpResponse(200, encode_json(body))


def _error(status: int, message: str) -> HttpResponse:
    return HttpResponse(status, encode_json({"error": message}))
