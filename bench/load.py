"""Generates a mixed load on a fleet and checks each response and the ledger of executions."""

import collections
import enum
import hashlib
import random
import time

import attrs
import gevent
import msgspec
import numpy as np

from lacewingmill.adapters.http_client import HttpClient, HttpReply
from lacewingmill.exceptions import TransportError
from standins.executors import Execution, TaskResponse
from standins.fleet import Fleet

__all__ = [
    "CallResult",
    "CallOutcome",
    "LedgerViolations",
    "LoadGenerator",
    "check_ledger",
    "read_ledger",
]

CALL_TIMEOUT_S = 40.0
LEDGER_TIMEOUT_S = 30.0


class CallOutcome(enum.Enum):
    """The outcome of a call as the client saw it."""

    ANSWERED = "answered"
    NOT_RUN = "refused, not run"
    UNKNOWN = "unknown"
    CUT = "connection cut"
    WRONG = "wrong answer"


@attrs.frozen
class RequestKind:
    """A kind of request in the mix of a deployment.

    :param share: share of the calls, 0..1.
    :param run_s: run time that the request asks of the stand-ins, in seconds.
    :param job: whether it is a job; otherwise it is an ordinary request.
    :param guaranteed: whether the team holds a guarantee for the shape.
    :param deadline_s: deadline of the request, in seconds.
    """

    path: str
    team: str
    share: float
    run_s: float
    idempotent: bool
    job: bool
    guaranteed: bool = False
    deadline_s: float = 20.0


MIXES = {
    "guild": (
        RequestKind("/plume-desk/stock", "undertakers", 0.55, 0.01, True, False, deadline_s=5.0),
        RequestKind("/plume-desk/order", "undertakers", 0.2, 0.01, False, False, deadline_s=10.0),
        RequestKind("/plume-desk/match", "member-workshops", 0.1, 0.3, True, True),
        RequestKind("/plume-desk/fitting", "montego-bay-workshop", 0.09, 0.5, True, True, True),
        RequestKind("/plume-desk/dye", "kingston-workshop", 0.05, 0.5, False, True, True),
        RequestKind("/plume-desk/outlook", "kingston-workshop", 0.01, 0.5, True, True),
    ),
    "waschplan": (
        RequestKind("/booking/machines", "student-halls", 0.55, 0.01, True, False, deadline_s=5.0),
        RequestKind("/booking/reserve", "student-halls", 0.2, 0.01, False, False, deadline_s=10.0),
        RequestKind("/booking/look", "caretakers", 0.12, 0.3, True, True, True),
        RequestKind("/booking/forecast", "student-halls", 0.07, 0.5, True, True, True),
        RequestKind("/booking/billing", "cooperatives", 0.05, 0.5, False, True, True),
        RequestKind("/booking/city", "associations", 0.01, 0.5, True, True),
    ),
}


@attrs.frozen
class CallResult:
    """A call that has ended.

    :param ended_at: when it ended, in seconds since the load generator was created.
    :param duration_s: how long it took, in seconds.
    :param detail: body or error of a call that was not answered.
    """

    key: str
    kind: RequestKind
    outcome: CallOutcome
    ended_at: float
    duration_s: float
    detail: str = ""


class LoadGenerator:
    """Sends a mixed load through the balancer, with exponentially distributed intervals.

    :param rate: calls per second.
    """

    def __init__(self, fleet: Fleet, seed: int, rate: float):
        self.calls: list[CallResult] = []
        self.sent = 0
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._rate = rate
        self._seed = seed
        self._client = HttpClient()
        self._started_at = time.monotonic()
        self._in_flight = set()
        self._stopped = False

    def run(self, duration_s: float) -> None:
        """Send calls until the time is over or ``stop`` is called, then wait for those in flight.

        :param duration_s: for how long to send calls, in seconds.
        """
        end = time.monotonic() + duration_s
        while time.monotonic() < end and not self._stopped:
            self._in_flight.add(gevent.spawn(self._call, self._choose_kind(), self.sent))
            self._in_flight = {call for call in self._in_flight if not call.dead}
            self.sent += 1
            gevent.sleep(self._rng.expovariate(self._rate))
        gevent.joinall(list(self._in_flight))

    def stop(self) -> None:
        """Stop sending calls."""
        self._stopped = True

    def count(self, outcome: CallOutcome) -> int:
        """Return the number of calls with an outcome."""
        return sum(1 for call in self.calls if call.outcome is outcome)

    def percentile(self, percent: float, *, jobs: bool) -> float:
        """Return a percentile of the durations of answered calls, in seconds; 0 without any.

        :param jobs: whether to count jobs or ordinary requests.
        """
        times = [
            call.duration_s
            for call in self.calls
            if call.outcome is CallOutcome.ANSWERED and call.kind.job == jobs
        ]
        return float(np.percentile(times, percent)) if times else 0.0

    def longest_gap_s(self) -> float:
        """Return the longest time without any answered call, in seconds."""
        times = sorted(c.ended_at for c in self.calls if c.outcome is CallOutcome.ANSWERED)
        return max((b - a for a, b in zip(times, times[1:], strict=False)), default=0.0)

    def _choose_kind(self) -> RequestKind:
        mix = MIXES[self._fleet.deployment.name]
        return self._rng.choices(mix, [kind.share for kind in mix])[0]

    def _call(self, kind: RequestKind, number: int) -> None:
        key = f"load-{self._seed}-{number}"
        body = msgspec.json.encode({"n": number, "run_s": kind.run_s})
        started = time.monotonic()
        try:
            reply = self._client.call(
                self._fleet.ports.balancer,
                "POST",
                kind.path,
                body=body,
                headers={
                    "Content-Type": "application/json",
                    "Lacewingmill-Team": kind.team,
                    "Lacewingmill-Deadline": str(kind.deadline_s),
                    "Idempotency-Key": key,
                },
                timeout_s=CALL_TIMEOUT_S,
            )
        except TransportError as exc:
            outcome, detail = CallOutcome.CUT, str(exc)
        else:
            outcome, detail = _classify_reply(reply, key, body)
        now = time.monotonic()
        self.calls.append(
            CallResult(key, kind, outcome, now - self._started_at, now - started, detail)
        )


def _classify_reply(reply: HttpReply, key: str, body: bytes) -> tuple[CallOutcome, str]:
    if reply.status == 200:
        response = msgspec.json.decode(reply.body, type=TaskResponse)
        matches = response.key == key and response.length == len(body)
        matches = matches and response.sha256 == hashlib.sha256(body).hexdigest()
        return (CallOutcome.ANSWERED, "") if matches else (CallOutcome.WRONG, repr(response))
    text = reply.body.decode("utf-8", "replace")
    if '"outcome":"not_run"' in text:
        return CallOutcome.NOT_RUN, text
    if '"outcome":"unknown"' in text:
        return CallOutcome.UNKNOWN, text
    return CallOutcome.NOT_RUN if reply.status == 503 else CallOutcome.WRONG, text


@attrs.frozen
class LedgerViolations:
    """Idempotency keys of the calls whose outcome contradicts the ledger of executions.

    :param false_refusals: calls refused as not run that were executed.
    :param executed_twice: non-idempotent calls that were executed more than once.
    :param partial_gangs: answered jobs of which a member of the gang never ran.
    """

    false_refusals: tuple[str, ...]
    executed_twice: tuple[str, ...]
    partial_gangs: tuple[str, ...]


def read_ledger(fleet: Fleet) -> list[Execution]:
    """Return the ledger: the executions of all stand-ins."""
    reply = fleet.client.call(fleet.ports.ledger, "GET", "/", timeout_s=LEDGER_TIMEOUT_S)
    return msgspec.json.decode(reply.body, type=list[Execution])


def check_ledger(calls: list[CallResult], ledger: list[Execution]) -> LedgerViolations:
    """Compare the outcomes of calls with the executions in the ledger."""
    start_counts = collections.Counter(row.key for row in ledger if row.rank == 0)
    ranks = collections.defaultdict(set)
    sizes = {}
    for row in ledger:
        ranks[row.key, row.path].add(row.rank)
        sizes[row.key, row.path] = row.size
    executed = {row.key for row in ledger}
    complete_gangs = {
        key for (key, path), seen_ranks in ranks.items() if len(seen_ranks) == sizes[key, path]
    }
    return LedgerViolations(
        tuple(c.key for c in calls if c.outcome is CallOutcome.NOT_RUN and c.key in executed),
        tuple(c.key for c in calls if not c.kind.idempotent and start_counts[c.key] > 1),
        tuple(
            c.key
            for c in calls
            if c.kind.job and c.outcome is CallOutcome.ANSWERED and c.key not in complete_gangs
        ),
    )
