"""Error responses as problem details (RFC 9457)."""

import attrs

from lacewingmill.adapters.http_server import HttpResponse
from lacewingmill.codec import encode_json
from lacewingmill.models import Outcome

__all__ = ["Problem", "problem_answer"]

CONTENT_TYPE = "application/problem+json"


@attrs.frozen
class Problem:
    """The problem details of one refused or failed request, encoded as JSON.

    :param status: HTTP status code.
    :param title: short summary of the kind of problem.
    :param detail: description of this occurrence.
    :param outcome: whether the request ran, as far as known.
    :param step: the processing step that failed.
    :param peer: the remote end; empty if none was involved.
    :param key: the idempotency key of the request.
    :param type: URI of the problem type.
    """

    status: int
    title: str
    detail: str
    outcome: Outcome
    step: str = ""
    peer: str = ""
    key: str = ""
    type: str = "about:blank"


def problem_response(problem: Problem, retry_after_s: int = 0) -> HttpResponse:
    """Build the HTTP response for a problem.

    :param retry_after_s: value of the ``Retry-After`` header, in seconds; 0 omits the header.
    """
    headers = {"Idempotency-Key": problem.key} if problem.key else {}
    if retry_after_s:
        headers["Retry-After"] = str(retry_after_s)
    return HttpResponse(problem.status, encode_json(problem), CONTENT_TYPE, headers)
