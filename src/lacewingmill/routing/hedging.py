"""Tries of idempotent requests: a second executor is asked when the first keeps silent.

A silent connection must not cost the caller its whole deadline, and a slow executor must not be
cut off, so that the first try goes on while the second runs; the first usable answer wins. Retries
and hedges spend from the retry budget.
"""

from typing import Protocol

import gevent
from gevent.event import Event

from lacewingmill.exceptions import (
    ConnectFailed,
    DeadlineExceeded,
    LacewingmillError,
    NoTarget,
    OutcomeUnknown,
    TransportError,
)
from lacewingmill.ports import ApplicationResponse, Clock

__all__ = ["TRIES", "HedgedTries", "TrySender"]

TRIES = 3
HEDGE_AFTER_SHARE = 0.25
OVERLOADED_STATUSES = frozenset((429, 503))


class TrySender(Protocol):
    """What a try needs; the router of ordinary requests."""

    def take_slot(self, lane, req, tried):
        """Wait for a place at an executor."""

    def send(self, lane, lease, req):
        """Send a request and return its answer."""


class HedgedTries:
    """All tries of one idempotent request."""

    def __init__(self, sender: TrySender, lane, req, clock: Clock):
        self._sender = sender
        self._lane = lane
        self._req = req
        self._clock = clock
        self._tried: set[str] = set()
        self._pending = 0
        self._started = 0
        self._answer: ApplicationResponse | None = None
        self._fallback: ApplicationResponse | None = None
        self._error: LacewingmillError | None = None
        self._changed = Event()

    def run(self) -> ApplicationResponse:
        """Return the first usable answer.

        :raises JobRefused: provably not run.
        :raises OutcomeUnknown: sent, and no answer came.
        """
        self._start()
        hedge_after = (self._req.deadline - self._clock.now()) * HEDGE_AFTER_SHARE
        alarm = gevent.spawn(self._hedge, hedge_after)
        try:
            while self._answer is None and self._pending:
                self._changed.wait()
                self._changed.clear()
                if self._answer is None and not self._pending and self._may_retry():
                    self._start()
        finally:
            alarm.kill(block=False)
        if self._answer is not None:
            return self._answer
        if self._fallback is not None:
            return self._fallback
        raise self._outcome()

    def _hedge(self, after_s: float) -> None:
        for _ in range(TRIES - 1):
            self._clock.sleep(after_s)
            if self._answer is None and self._pending and self._may_retry():
                self._start()

    def _may_retry(self) -> bool:
        in_time = self._clock.now() < self._req.deadline
        return in_time and self._started < TRIES and self._lane.budget.spend()

    def _start(self) -> None:
        self._started += 1
        self._pending += 1
        gevent.spawn(self._try)

    def _try(self) -> None:
        try:
            lease = self._sender.take_slot(self._lane, self._req, frozenset(self._tried))
            self._tried.add(lease.vm.name)
            answer = self._sender.send(self._lane, lease, self._req)
        except LacewingmillError as exc:
            self._take_error(exc)
        else:
            if answer.status in OVERLOADED_STATUSES:
                self._fallback = answer
            elif self._answer is None:
                self._answer = answer
        finally:
            self._pending -= 1
            self._changed.set()

    def _take_error(self, exc: LacewingmillError) -> None:
        """Keep an error that arose after sending over one that arose before."""
        if not _may_have_run(self._error):
            self._error = exc

    def _outcome(self) -> LacewingmillError:
        exc = self._error
        if exc is None:
            return DeadlineExceeded("the deadline passed while the request waited", step="queue")
        if _may_have_run(exc):
            return OutcomeUnknown(exc.message, step=exc.step, peer=exc.peer)
        if isinstance(exc, ConnectFailed):
            return NoTarget(exc.message, step=exc.step, peer=exc.peer)
        return exc


def _may_have_run(exc: LacewingmillError | None) -> bool:
    return isinstance(exc, TransportError) and not isinstance(exc, ConnectFailed)
