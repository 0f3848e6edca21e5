"""Calls of callers in the platform's form: jobs handed in, asked for, cancelled and counted."""

import re
from collections.abc import Callable

import attrs
import msgspec

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.exceptions import JobRefused, OutcomeUnknown, RequestInvalid
from lacewingmill.jobs.job_api import JobApi
from lacewingmill.jobs.model import JobTiming, Queue, Step, Submission

__all__ = ["FrontHandler", "ReadyHandler", "decode_job"]

DEADLINE_HEADER = "x-deadline-ms"
KEY_SCHEME = "token "
JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
MAX_SPEC_BYTES = 4000
MAX_STEPS = 1000
MAX_TASKS = 100_000
DEFAULT_DEADLINE_S = 3.0


@attrs.frozen
class _Step:
    count: int = 1
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0
    after: list[int] = attrs.field(factory=list)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    long_running: bool = False
    fills: bool = False


@attrs.frozen
class _Job:
    spec: str
    steps: list[_Step]
    times: int = 0
    start_at_ms: float = 0
    interval_ms: float = 0


class JobApiHandler:
    """Answers callers."""

    def __init__(self, desk: JobApi):
        self._desk = desk

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one call."""
        try:
            return self._answer(req)
        except RequestInvalid as exc:
            return _error(exc.status, exc.message)
        except JobRefused as exc:
            answer = _error(503, exc.message)
            return attrs.evolve(
                answer, headers={"Retry-After": str(max(1, round(exc.retry_after_s)))}
            )
        except OutcomeUnknown as exc:
            return _error(504, exc.message)

    def _answer(self, req: HttpRequest) -> HttpResponse:
        host = req.headers.get("host", "").partition(":")[0].lower()
        found = self._desk.resolve(host, req.path, _key(req))
        if not found.subpath and req.method == "GET":
            return _json({"waiting": self._desk.waiting(found.queue.name)})
        if not JOB_ID.match(found.subpath):
            raise RequestInvalid(f"{found.subpath!r} is not the id of a job", status=404)
        return self._answer_job(req, found.queue, found.team, found.subpath)

    def _answer_job(self, req: HttpRequest, queue: Queue, team: str, job_id: str) -> HttpResponse:
        if req.method == "POST":
            submission = decode_job(req.body, queue, team, job_id)
            self._desk.submit(submission, _deadline_s(req))
            return _json({})
        if req.method == "GET":
            state = self._desk.state(job_id, team)
            if state is None:
                return _error(410, f"no job {job_id}")
            return _json({"state": state.value})
        if req.method == "DELETE":
            if self._desk.cancel(job_id, team):
                return _json({})
            return _error(410, f"no job {job_id}")
        raise RequestInvalid(f"method {req.method} is not allowed", status=405)


class ReadyHandler:
    """Answers the platform's balancer.

    :param why_not_ready: returns the reason why callers should go elsewhere, or an empty string.
    """

    def __init__(self, why_not_ready: Callable[[], str]):
        self._why_not_ready = why_not_ready

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one call."""
        reason = self._why_not_ready()
        return _error(503, reason) if reason else HttpResponse(200, b"{}")


def decode_job(body: bytes, queue: Queue, team: str, job_id: str) -> Submission:
    """Decode a job that a caller hands in.

    :raises RequestInvalid: when the body does not describe a job.
    """
    try:
        job = msgspec.json.decode(body, type=_Job)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RequestInvalid(f"body: {exc}") from exc
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
        tuple(_step(number, step) for number, step in enumerate(job.steps)),
        JobTiming(job.times, job.start_at_ms / 1000, job.interval_ms / 1000),
        advised=queue.advised,
    )


def _step(number: int, step: _Step) -> Step:
    where = f"body: steps[{number}]"
    if step.count < 1:
        raise RequestInvalid(f"{where}.count must be 1 or more")
    if min(step.cpu, step.mem_mb, step.gpu, step.est_runtime_ms, step.max_per_server) < 0:
        raise RequestInvalid(f"{where} has a negative amount")
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


def _key(req: HttpRequest) -> str:
    value = req.headers.get("authorization", "")
    if not value.lower().startswith(KEY_SCHEME):
        return ""
    return value[len(KEY_SCHEME) :].strip()


def _deadline_s(req: HttpRequest) -> float:
    try:
        return max(0.1, int(req.headers[DEADLINE_HEADER]) / 1000)
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_S


def _json(body: dict) -> HttpResponse:
    return HttpResponse(200, msgspec.json.encode(body))


def _error(status: int, message: str) -> HttpResponse:
    return HttpResponse(status, msgspec.json.encode({"error": message}))
