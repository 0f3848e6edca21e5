"""Refusals as problem documents (RFC 9457)."""

import attrs

from lacewingmill.adapters.http_server import HttpResponse
from lacewingmill.codec import encode_json
from lacewingmill.models import Outcome

__all__ = ["Problem", "problem_answer"]

CONTENT_TYPE = "application/problem+json"


@attrs.frozen
class Problem:
    """A refusal.

    :param outcome: what is known about the work.
    :param step: the step at which it failed.
    :param peer: the other end; empty when none was involved.
    :param key: the idempotency key of the request.
    """

    status: int
    title: str
    detail: str
    outcome: Outcome
    step: str = ""
    peer: str = ""
    key: str = ""
    type: str = "about:blank"


def problem_answer(problem: Problem, retry_after_s: int = 0) -> HttpResponse:
    """Return the HTTP answer for a problem.

    :param retry_after_s: for the ``Retry-After`` field; 0 leaves it out.
    """
    headers = {"Idempotency-Key": problem.key} if problem.key else {}
    if retry_after_s:
        headers["Retry-After"] = str(retry_after_s)
    return HttpResponse(problem.status, encode_json(problem), CONTENT_TYPE, headers)
