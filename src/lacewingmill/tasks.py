"""Greenlets of a VM, and what becomes of an error in one that nothing expects."""

import traceback
from pathlib import Path

import gevent

from lacewingmill.events import EventLog, LogEvent

__all__ = ["log_failed_tasks", "place_of"]

# Errors that ask the process to end; all others end one task only.
ENDING = (KeyboardInterrupt, SystemExit)


def place_of(exc: BaseException) -> str:
    """Return file, line and function in which an error arose."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return ""
    origin = frames[-1]
    return f"{Path(origin.filename).name}:{origin.lineno} in {origin.name}"


def log_failed_tasks(log: EventLog) -> None:
    """Write a line for each greenlet or callback that ends by an error, in place of a traceback."""
    hub = gevent.get_hub()

    def handle_error(context, kind, exc, tb) -> None:
        if issubclass(kind, ENDING) or context is None:
            hub.handle_system_error(kind, exc, tb)
        elif not issubclass(kind, hub.NOT_ERROR):
            log.emit(LogEvent.TASK_FAILED, error=repr(exc), where=place_of(exc))

    hub.handle_error = handle_error
