"""Hedged requests: idempotent requests that may be sent to several executors at a time.

If no answer has arrived after a fraction of the time until the deadline, another attempt is
started, at another executor if possible, so that an unresponsive connection doesn't use up the
client's whole deadline. Earlier attempts go on, because their executor may only be slow; the first
usable answer wins. Retries and hedges take tokens from the retry budget.
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

__all__ = ["MAX_ATTEMPTS", "AttemptSender", "HedgedRequest"]

MAX_ATTEMPTS = 3
HEDGE_DELAY_FRACTION = 0.25  # of the time left until the deadline
OVERLOADED_STATUSES = frozenset((429, 503))


class AttemptSender(Protocol):
    """Sends single attempts; implemented by the router of ordinary requests."""

    def acquire_slot(self, service_state, req, tried):
        """Wait for a slot at an executor."""

    def send(self, service_state, slot, req):
        """Send a request and return its answer."""


class HedgedRequest:
    """All attempts of one idempotent request."""

    def __init__(self, sender: AttemptSender, service_state, req, clock: Clock):
        self._sender = sender
        self._service_state = service_state
        self._req = req
        self._clock = clock
        self._tried: set[str] = set()
        self._pending = 0
        self._attempts = 0
        self._answer: ApplicationResponse | None = None
        self._fallback: ApplicationResponse | None = None
        self._error: LacewingmillError | None = None
        self._attempt_ended = Event()

    def run(self) -> ApplicationResponse:
        """Return the first usable answer, or else one that reports overload.

        :raises JobRefused: the request was certainly not run.
        :raises OutcomeUnknown: the request was sent and no answer arrived.
        """
        self._start_attempt()
        hedge_delay_s = (self._req.deadline - self._clock.now()) * HEDGE_DELAY_FRACTION
        hedger = gevent.spawn(self._hedge, hedge_delay_s)
        try:
            while self._answer is None and self._pending:
                self._attempt_ended.wait()
                self._attempt_ended.clear()
                if self._answer is None and not self._pending and self._reserve_attempt():
                    self._start_attempt()
        finally:
            hedger.kill(block=False)
        if self._answer is not None:
            return self._answer
        if self._fallback is not None:
            return self._fallback
        raise self._final_error()

    def _hedge(self, delay_s: float) -> None:
        """Start one more attempt after each delay while earlier ones are pending."""
        for _ in range(MAX_ATTEMPTS - 1):
            self._clock.sleep(delay_s)
            if self._answer is None and self._pending and self._reserve_attempt():
                self._start_attempt()

    def _reserve_attempt(self) -> bool:
        """Return whether another attempt may start; takes a token from the retry budget if so."""
        before_deadline = self._clock.now() < self._req.deadline
        return (
            before_deadline
            and self._attempts < MAX_ATTEMPTS
            and self._service_state.budget.try_withdraw()
        )

    def _start_attempt(self) -> None:
        self._attempts += 1
        self._pending += 1
        gevent.spawn(self._attempt)

    def _attempt(self) -> None:
        try:
            slot = self._sender.acquire_slot(self._service_state, self._req, frozenset(self._tried))
            self._tried.add(slot.vm.name)
            answer = self._sender.send(self._service_state, slot, self._req)
        except LacewingmillError as exc:
            self._record_error(exc)
        else:
            if answer.status in OVERLOADED_STATUSES:
                self._fallback = answer
            elif self._answer is None:
                self._answer = answer
        finally:
            self._pending -= 1
            self._attempt_ended.set()

    def _record_error(self, exc: LacewingmillError) -> None:
        """Keep the latest error, but never replace one after which the request may have run."""
        if not _may_have_run(self._error):
            self._error = exc

    def _final_error(self) -> LacewingmillError:
        exc = self._error
        if exc is None:
            return DeadlineExceeded(
                "the deadline passed while the request was queued", step="queue"
            )
        if _may_have_run(exc):
            return OutcomeUnknown(exc.message, step=exc.step, peer=exc.peer)
        if isinstance(exc, ConnectFailed):
            return NoTarget(exc.message, step=exc.step, peer=exc.peer)
        return exc


def _may_have_run(exc: LacewingmillError | None) -> bool:
    return isinstance(exc, TransportError) and not isinstance(exc, ConnectFailed)
