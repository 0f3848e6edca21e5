"""Greenlets of a VM, and what becomes of an error in one that nothing expects."""

import traceback
from collections.abc import Callable
from pathlib import Path

import gevent

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.ports import Clock

__all__ = ["keep_running", "log_failed_tasks", "place_of", "spawn_guarded"]

# A loop that fails at once each time must leave the processor to the others.
LOOP_RESTART_DELAY_S = 0.5
# Errors that ask the process to end; all others end one task only.
EXIT_EXCEPTIONS = (KeyboardInterrupt, SystemExit)


def error_location(exc: BaseException) -> str:
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
        if issubclass(kind, EXIT_EXCEPTIONS) or context is None:
            hub.handle_system_error(kind, exc, tb)
        elif not issubclass(kind, hub.NOT_ERROR):
            log.emit(LogEvent.TASK_FAILED, error=repr(exc), where=error_location(exc))

    hub.handle_error = handle_error


def keep_running(loop: Callable[[], None], clock: Clock, log: EventLog) -> None:
    """Run a loop until it returns; one that ends by an error is begun anew."""
    while True:
        try:
            loop()
            return
        except (Exception, gevent.Timeout) as exc:
            log.emit(
                LogEvent.LOOP_FAILED,
                loop=loop.__qualname__,
                error=repr(exc),
                where=error_location(exc),
            )
        clock.sleep(LOOP_RESTART_DELAY_S)


def spawn_with_callback(run: Callable[[], None], failed: Callable[[], None]) -> gevent.Greenlet:
    """Start a task on which others rely.

    :param failed: called when it ends by an error, which the hub has logged.
    """
    task = gevent.spawn(run)
    task.link_exception(lambda _: failed())
    return task
