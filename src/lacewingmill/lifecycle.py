"""What every VM does at its start, while it turns ready or not, and at a planned stop."""

from abc import ABC, abstractmethod
from typing import Protocol

import gevent
from gevent.event import Event

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import ListenFailed
from lacewingmill.ports import Clock

__all__ = ["CLOSED_QUIET_S", "ReadinessLog", "StoppableVm", "wait_until_quiet"]

POLL_INTERVAL_S = 0.05
# Closed connections end in one turn of the loop; a request read just before needs its answer.
IDLE_AFTER_CLOSE_S = 0.05
# The process before needs up to a few seconds to give its addresses back.
LISTEN_RETRY_INTERVAL_S = 0.2


class Server(Protocol):
    """A service at an address, which counts its requests."""

    address: str
    in_flight: int

    def start(self) -> None:
        """Begin to accept connections.

        :raises ListenFailed: when the address cannot be listened on.
        """


class ReadinessLog:
    """Writes a line whenever a VM turns ready or not."""

    def __init__(self, log: EventLog):
        self._log = log
        self._was_ready: bool | None = None

    def update(self, reason: str) -> None:
        """Take in why the VM is not ready; an empty string when it is."""
        ready = not reason
        if ready is self._was_ready:
            return
        self._was_ready = ready
        self._log.emit(LogEvent.READY if ready else LogEvent.NOT_READY, reason=reason)


class StoppableVm(ABC):
    """A VM that is stopped as planned, once."""

    def __init__(self):
        self._stopping = False
        self._stopped = Event()

    def wait(self) -> None:
        """Wait until a planned stop is complete."""
        self._stopped.wait()

    def begin_stop(self) -> None:
        """Begin a planned stop; used by signal handlers, so it returns at once."""
        if not self._stopping:
            self._stopping = True
            gevent.spawn(self._stop)

    def _listen(self, service: Server, clock: Clock, log: EventLog) -> None:
        """Start a service, as soon as its address is free, unless a planned stop begins."""
        reported = False
        while not self._stopping:
            try:
                service.start()
                return
            except ListenFailed as exc:
                if not reported:
                    log.emit(LogEvent.ADDRESS_TAKEN, address=service.address, reason=exc.message)
                reported = True
            clock.sleep(LISTEN_RETRY_INTERVAL_S)

    @abstractmethod
    def _stop(self) -> None:
        """Finish what is in flight and set ``_stopped``."""


def wait_until_idle(
    service: Server, clock: Clock, idle_s: float, *, earliest: float, latest: float
) -> None:
    """Wait until a service has had nothing in flight for a while.

    :param quiet_s: for how long, in seconds.
    :param earliest: not before that moment, in seconds.
    :param latest: not beyond that moment, in seconds.
    """
    idle_since = clock.now()
    while clock.now() < latest:
        now = clock.now()
        if service.in_flight:
            idle_since = now
        elif now - idle_since >= idle_s and now >= earliest:
            return
        clock.sleep(POLL_INTERVAL_S)
