"""Signals to the process, which may come before its VM exists."""

import signal
from collections.abc import Callable

import gevent

__all__ = ["ProcessSignals"]


class ProcessSignals:
    """Takes signals from its construction on, and passes them on once a VM can act on them.

    SIGTERM and SIGINT ask for a planned stop, SIGHUP for another read of the settings.
    """

    def __init__(self):
        self._stop: Callable[[], None] | None = None
        self._reload: Callable[[], None] | None = None
        self._reload_requested = False
        self.stop_requested = False
        gevent.signal_handler(signal.SIGTERM, self._request_stop)
        gevent.signal_handler(signal.SIGINT, self._request_stop)
        gevent.signal_handler(signal.SIGHUP, self._request_reload)

    def connect(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Pass signals on from now on, and those that have come already."""
        self._stop, self._reload = stop, reload
        if self.stop_requested:
            stop()
        elif self._reload_requested:
            reload()

    def _request_stop(self) -> None:
        self.stop_requested = True
        if self._stop is not None:
            self._stop()

    def _request_reload(self) -> None:
        self._reload_requested = True
        if self._reload is not None:
            self._reload()
