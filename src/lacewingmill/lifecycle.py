"""Start, readiness and planned stop, which all kinds of VM share."""

from abc import ABC, abstractmethod
from typing import Protocol

import gevent
from gevent.event import Event

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import ListenFailed
from lacewingmill.ports import Clock

__all__ = ["IDLE_AFTER_CLOSE_S", "ReadinessLog", "StoppableVm", "wait_until_idle"]

POLL_INTERVAL_S = 0.05
# Idle connections end within one turn of the event loop after the server is closed; a request
# that was read just before still needs its response.
IDLE_AFTER_CLOSE_S = 0.05
# After a restart, the previous process may hold the addresses for up to a few seconds.
LISTEN_RETRY_INTERVAL_S = 0.2


class Server(Protocol):
    """A server at an address that counts its requests in flight."""

    address: str
    in_flight: int

    def start(self) -> None:
        """Start to accept connections.

        :raises ListenFailed: when the address cannot be bound.
        """


class ReadinessLog:
    """Logs when a VM becomes ready and when it is no longer ready."""

    def __init__(self, log: EventLog):
        self._log = log
        self._was_ready: bool | None = None

    def update(self, reason: str) -> None:
        """Log the readiness if it has changed.

        :param reason: why the VM is not ready; empty when it is.
        """
        ready = not reason
        if ready is self._was_ready:
            return
        self._was_ready = ready
        self._log.emit(LogEvent.READY if ready else LogEvent.NOT_READY, reason=reason)


class StoppableVm(ABC):
    """Base class of VMs, with a planned stop that happens at most once."""

    def __init__(self):
        self._stopping = False
        self._stopped = Event()

    def wait(self) -> None:
        """Wait until a planned stop is complete."""
        self._stopped.wait()

    def begin_stop(self) -> None:
        """Begin a planned stop in the background; signal handlers call this and must not block."""
        if not self._stopping:
            self._stopping = True
            gevent.spawn(self._stop)

    def _listen(self, server: Server, clock: Clock, log: EventLog) -> None:
        """Start a server once its address is free; give up when a planned stop begins."""
        reported = False
        while not self._stopping:
            try:
                server.start()
                return
            except ListenFailed as exc:
                if not reported:
                    log.emit(LogEvent.ADDRESS_TAKEN, address=server.address, reason=exc.message)
                reported = True
            clock.sleep(LISTEN_RETRY_INTERVAL_S)

    @abstractmethod
    def _stop(self) -> None:
        """Finish the requests in flight and set ``_stopped``."""


def wait_until_idle(
    server: Server, clock: Clock, idle_s: float, *, earliest: float, latest: float
) -> None:
    """Wait until a server has had no requests in flight for a while.

    :param idle_s: for how long, in seconds.
    :param earliest: time before which the call does not return, in seconds of the clock.
    :param latest: time at which the call returns in any case, in seconds of the clock.
    """
    idle_since = clock.now()
    while clock.now() < latest:
        now = clock.now()
        if server.in_flight:
            idle_since = now
        elif now - idle_since >= idle_s and now >= earliest:
            return
        clock.sleep(POLL_INTERVAL_S)
