"""HTTP handler of the requests that clients send to an entry VM."""

import uuid
from collections.abc import Callable
from urllib.parse import parse_qs

import attrs

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse
from lacewingmill.adapters.metrics import Metrics
from lacewingmill.catalogue.current import Configuration, RouteMatch
from lacewingmill.cells.messages import JobPhase, JobReport
from lacewingmill.codec import encode_json
from lacewingmill.exceptions import (
    JobRefused,
    NotOwner,
    OutcomeUnknown,
    QueueFull,
    RequestInvalid,
    TransportError,
)
from lacewingmill.models import Outcome, RouteKind, Team
from lacewingmill.ports import ApplicationResponse, Clock
from lacewingmill.routing.jobs import JobRouter
from lacewingmill.routing.ordinary import ClientRequest, OrdinaryRouter
from lacewingmill.routing.problems import Problem, problem_response

__all__ = ["EntryHandler", "JobStatus"]

TEAM_HEADER = "lacewingmill-team"
DEADLINE_HEADER = "lacewingmill-deadline"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
ANSWERED_BY_HEADER = "Lacewingmill-Answered-By"
JOBS_PATH = "/jobs/"
MAX_KEY_CHARS = 255
MAX_DEADLINE_S = 24 * 3600.0
MAX_WAIT_S = 60.0
ALLOWED_METHODS = frozenset(("GET", "POST", "PUT", "PATCH", "DELETE"))
OUTCOME_BY_PHASE = {
    JobPhase.DONE: Outcome.DONE,
    JobPhase.NOT_RUN: Outcome.NOT_RUN,
    JobPhase.UNKNOWN: Outcome.UNKNOWN,
}


@attrs.frozen
class JobStatus:
    """The JSON body of a response about a job that has not ended."""

    job: str
    phase: JobPhase
    reason: str = ""
    step: str = ""
    peer: str = ""
    notes: tuple[str, ...] = ()


class EntryHandler:
    """Handles the requests of clients.

    :param configuration: returns the configuration in force.
    :param spawn: runs a function in a new greenlet.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        ordinary: OrdinaryRouter,
        jobs: JobRouter,
        metrics: Metrics,
        clock: Clock,
        spawn: Callable[..., object],
    ):
        self._configuration = configuration
        self._ordinary = ordinary
        self._jobs = jobs
        self._metrics = metrics
        self._clock = clock
        self._spawn = spawn

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle a client's request."""
        started = self._clock.now()
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        route, outcome = "none", Outcome.NOT_RUN
        try:
            if req.path.startswith(JOBS_PATH):
                return self._handle_job(req)
            match = self._match_route(req)
            route = match.route.path
            client_req = self._make_client_request(req, match, started)
            key = client_req.key
            resp = self._serve(req, client_req)
            outcome = Outcome.DONE
            return resp
        except RequestInvalid as exc:
            return self._problem_response(exc.status, "Request refused", Outcome.NOT_RUN, exc, key)
        except QueueFull as exc:
            return self._problem_response(429, "Too many requests", Outcome.NOT_RUN, exc, key)
        except JobRefused as exc:
            return self._problem_response(503, "Not run", Outcome.NOT_RUN, exc, key)
        except OutcomeUnknown as exc:
            outcome = Outcome.UNKNOWN
            return self._problem_response(504, "Outcome unknown", Outcome.UNKNOWN, exc, key)
        finally:
            self._metrics.record_request(route, outcome.value, self._clock.now() - started)

    def _match_route(self, req: HttpRequest) -> RouteMatch:
        configuration = self._configuration()
        match = configuration.routes.get(req.path)
        if match is None:
            raise RequestInvalid(f"no service has a route {req.path}", status=404, step="route")
        if req.method not in ALLOWED_METHODS:
            raise RequestInvalid(f"method {req.method} is not supported", status=405, step="route")
        if not match.route.idempotent and req.method != "POST":
            # The HTTP client library may resend requests whose method HTTP defines as idempotent.
            raise RequestInvalid("this route accepts only POST", status=405, step="route")
        return match

    def _make_client_request(
        self, req: HttpRequest, match: RouteMatch, now: float
    ) -> ClientRequest:
        key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if len(key) > MAX_KEY_CHARS:
            raise RequestInvalid(f"Idempotency-Key is longer than {MAX_KEY_CHARS} characters")
        path = f"{req.path}?{req.query}" if req.query else req.path
        return ClientRequest(
            match.service,
            match.route,
            self._select_team(req, match),
            req.method,
            path,
            req.body,
            req.headers["content-type"],
            key or uuid.uuid4().hex,
            bool(key),
            now + self._parse_deadline_s(req, match),
        )

    def _select_team(self, req: HttpRequest, match: RouteMatch) -> Team:
        name = req.headers.get(TEAM_HEADER, "")
        if not name and len(match.service.teams) == 1:
            return match.service.teams[0]
        team = match.service.team(name)
        if team is None:
            raise RequestInvalid(
                f"Lacewingmill-Team {name!r} is not a team of {match.service.name}", step="team"
            )
        return team

    def _parse_deadline_s(self, req: HttpRequest, match: RouteMatch) -> float:
        text = req.headers.get(DEADLINE_HEADER)
        if text is None:
            return match.route.deadline_s
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0.0 < seconds <= MAX_DEADLINE_S:
            raise RequestInvalid(
                f"Lacewingmill-Deadline must be a number of seconds, more than 0 and at most "
                f"{MAX_DEADLINE_S:g}",
                step="deadline",
            )
        return seconds

    def _serve(self, req: HttpRequest, client_req: ClientRequest) -> HttpResponse:
        if client_req.route.kind is RouteKind.ORDINARY:
            return _application_response(self._ordinary.serve(client_req), client_req.key)
        if "respond-async" in req.headers.get("prefer", ""):
            return self._serve_async(client_req)
        return _application_response(self._jobs.serve(client_req), client_req.key)

    def _serve_async(self, client_req: ClientRequest) -> HttpResponse:
        submission = self._jobs.make_submission(client_req)
        self._spawn(self._jobs.submit_and_wait, submission, client_req.deadline)
        job_id = submission.job.job_id
        status = JobStatus(job_id, JobPhase.WAITING)
        headers = {"Location": JOBS_PATH + job_id, "Idempotency-Key": client_req.key}
        return HttpResponse(202, encode_json(status), headers=headers)

    def _handle_job(self, req: HttpRequest) -> HttpResponse:
        job_id = req.path[len(JOBS_PATH) :]
        try:
            if req.method == "DELETE":
                self._jobs.cancel(job_id)
            wait_s = min(float(parse_qs(req.query).get("wait", ["0"])[0]), MAX_WAIT_S)
            report = self._jobs.poll(job_id, wait_s)
        except ValueError as exc:
            raise RequestInvalid("wait must be a number of seconds", step="wait") from exc
        except (NotOwner, TransportError) as exc:
            raise OutcomeUnknown(exc.message, step=exc.step, peer=exc.peer) from exc
        if report is None:
            raise RequestInvalid(f"job {job_id} is unknown", status=404, step="job")
        return _report_response(report)

    def _problem_response(
        self, status: int, title: str, outcome: Outcome, exc, key: str
    ) -> HttpResponse:
        problem = Problem(status, title, exc.message, outcome, exc.step, exc.peer, key)
        return problem_response(problem, retry_after_s=1 if status in (429, 503) else 0)


def _application_response(answer: ApplicationResponse, key: str) -> HttpResponse:
    headers = {"Idempotency-Key": key, ANSWERED_BY_HEADER: answer.answered_by}
    return HttpResponse(answer.status, answer.body, answer.content_type, headers)


def _report_response(report: JobReport) -> HttpResponse:
    if report.answer is not None:
        return _application_response(report.answer, "")
    notes = tuple(note.text for note in report.notes)
    status = JobStatus(report.job_id, report.phase, report.reason, report.step, report.peer, notes)
    if not report.phase.final:
        return HttpResponse(202, encode_json(status))
    code = 503 if report.phase is JobPhase.NOT_RUN else 504
    outcome = OUTCOME_BY_PHASE[report.phase]
    return problem_response(
        Problem(code, report.phase.value, report.reason, outcome, report.step, report.peer)
    )
