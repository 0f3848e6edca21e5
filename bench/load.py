"""Callers of a fleet: a mixed load whose every answer is checked, and the ledgers at the end."""

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

__all__ = ["Call", "CallOutcome", "LedgerVerdict", "Load", "judge_ledger", "read_ledger"]

CALL_TIMEOUT_S = 40.0
LEDGER_TIMEOUT_S = 30.0


class CallOutcome(enum.Enum):
    """What a caller got."""

    ANSWERED = "answered"
    NOT_RUN = "refused, not run"
    UNKNOWN = "unknown"
    CUT = "connection cut"
    WRONG = "wrong answer"


@attrs.frozen
class Kind:
    """A kind of request in the mix.

    :param share: share of the calls.
    :param run_s: run time asked of the stand-ins, in seconds.
    :param guaranteed: whether the team holds a guarantee for the shape.
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
        Kind("/plume-desk/stock", "undertakers", 0.55, 0.01, True, False, deadline_s=5.0),
        Kind("/plume-desk/order", "undertakers", 0.2, 0.01, False, False, deadline_s=10.0),
        Kind("/plume-desk/match", "member-workshops", 0.1, 0.3, True, True),
        Kind("/plume-desk/fitting", "montego-bay-workshop", 0.09, 0.5, True, True, True),
        Kind("/plume-desk/dye", "kingston-workshop", 0.05, 0.5, False, True, True),
        Kind("/plume-desk/outlook", "kingston-workshop", 0.01, 0.5, True, True),
    ),
    "waschplan": (
        Kind("/booking/machines", "student-halls", 0.55, 0.01, True, False, deadline_s=5.0),
        Kind("/booking/reserve", "student-halls", 0.2, 0.01, False, False, deadline_s=10.0),
        Kind("/booking/look", "caretakers", 0.12, 0.3, True, True, True),
        Kind("/booking/forecast", "student-halls", 0.07, 0.5, True, True, True),
        Kind("/booking/billing", "cooperatives", 0.05, 0.5, False, True, True),
        Kind("/booking/city", "associations", 0.01, 0.5, True, True),
    ),
}


@attrs.frozen
class Call:
    """One call and what came of it.

    :param at: when it was answered, in seconds since the load began.
    :param seconds: how long it took.
    """

    key: str
    kind: Kind
    outcome: CallOutcome
    at: float
    seconds: float
    detail: str = ""


class Load:
    """Sends a mixed load through the balancer.

    :param rate: calls a second.
    """

    def __init__(self, fleet: Fleet, seed: int, rate: float):
        self.calls: list[Call] = []
        self.sent = 0
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._rate = rate
        self._seed = seed
        self._caller = HttpClient()
        self._started = time.monotonic()
        self._open = set()
        self._stopped = False

    def run(self, seconds: float) -> None:
        """Send for so long, then wait for the answers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self._stopped:
            self._open.add(gevent.spawn(self._call, self._choose(), self.sent))
            self._open = {call for call in self._open if not call.dead}
            self.sent += 1
            gevent.sleep(self._rng.expovariate(self._rate))
        gevent.joinall(list(self._open))

    def stop(self) -> None:
        """Send no more."""
        self._stopped = True

    def count(self, outcome: CallOutcome) -> int:
        """Return how many calls ended so."""
        return sum(1 for call in self.calls if call.outcome is outcome)

    def percentile(self, share: float, *, jobs: bool) -> float:
        """Return a percentile of the completion times of answered calls, in seconds."""
        times = [
            call.seconds
            for call in self.calls
            if call.outcome is CallOutcome.ANSWERED and call.kind.job == jobs
        ]
        return float(np.percentile(times, share)) if times else 0.0

    def longest_gap_s(self) -> float:
        """Return the longest time without any answered call, in seconds."""
        times = sorted(c.at for c in self.calls if c.outcome is CallOutcome.ANSWERED)
        return max((b - a for a, b in zip(times, times[1:], strict=False)), default=0.0)

    def _choose(self) -> Kind:
        mix = MIXES[self._fleet.deployment.name]
        return self._rng.choices(mix, [kind.share for kind in mix])[0]

    def _call(self, kind: Kind, number: int) -> None:
        key = f"load-{self._seed}-{number}"
        body = msgspec.json.encode({"n": number, "run_s": kind.run_s})
        started = time.monotonic()
        try:
            reply = self._caller.call(
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
            outcome, detail = _judge(reply, key, body)
        now = time.monotonic()
        self.calls.append(Call(key, kind, outcome, now - self._started, now - started, detail))


def _judge(reply: HttpReply, key: str, body: bytes) -> tuple[CallOutcome, str]:
    if reply.status == 200:
        answer = msgspec.json.decode(reply.body, type=TaskResponse)
        own = answer.key == key and answer.length == len(body)
        own = own and answer.sha256 == hashlib.sha256(body).hexdigest()
        return (CallOutcome.ANSWERED, "") if own else (CallOutcome.WRONG, repr(answer))
    text = reply.body.decode("utf-8", "replace")
    if '"outcome":"not_run"' in text:
        return CallOutcome.NOT_RUN, text
    if '"outcome":"unknown"' in text:
        return CallOutcome.UNKNOWN, text
    return CallOutcome.NOT_RUN if reply.status == 503 else CallOutcome.WRONG, text


@attrs.frozen
class LedgerVerdict:
    """What the ledgers say about a load; each names the keys at fault.

    :param false_refusals: said to be not run, but executed.
    :param executed_twice: non-idempotent work that was executed more than once.
    :param partial_gangs: answered gangs of which a member never ran.
    """

    false_refusals: tuple[str, ...]
    executed_twice: tuple[str, ...]
    partial_gangs: tuple[str, ...]


def read_ledger(fleet: Fleet) -> list[Execution]:
    """Return the executions of all stand-ins."""
    reply = fleet.client.call(fleet.ports.ledger, "GET", "/", timeout_s=LEDGER_TIMEOUT_S)
    return msgspec.json.decode(reply.body, type=list[Execution])


def judge_ledger(calls: list[Call], ledger: list[Execution]) -> LedgerVerdict:
    """Check what callers were told against what was executed."""
    first_members = collections.Counter(row.key for row in ledger if row.rank == 0)
    ranks = collections.defaultdict(set)
    sizes = {}
    for row in ledger:
        ranks[row.key, row.path].add(row.rank)
        sizes[row.key, row.path] = row.size
    executed = {row.key for row in ledger}
    whole = {key for (key, path), seen in ranks.items() if len(seen) == sizes[key, path]}
    return LedgerVerdict(
        tuple(c.key for c in calls if c.outcome is CallOutcome.NOT_RUN and c.key in executed),
        tuple(c.key for c in calls if not c.kind.idempotent and first_members[c.key] > 1),
        tuple(
            c.key
            for c in calls
            if c.kind.job and c.outcome is CallOutcome.ANSWERED and c.key not in whole
        ),
    )
