"""Handles unexpected errors in the greenlets of a VM."""

import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.ports import Clock

__all__ = [
    "contain_errors",
    "error_location",
    "keep_running",
    "log_failed_tasks",
    "spawn_with_callback",
]

# Without a delay, a loop that fails immediately each time would starve the other greenlets.
LOOP_RESTART_DELAY_S = 0.5
# Exceptions that end the process; any other exception ends only its greenlet.
EXIT_EXCEPTIONS = (KeyboardInterrupt, SystemExit)


def error_location(exc: BaseException) -> str:
    """Return the file, line and function that raised an error, or an empty string."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return ""
    origin = frames[-1]
    return f"{Path(origin.filename).name}:{origin.lineno} in {origin.name}"


def log_failed_tasks(log: EventLog) -> None:
    """Log each greenlet or callback that ends with an error, in place of gevent's traceback."""
    hub = gevent.get_hub()

    def handle_error(context, exc_type, exc, tb) -> None:
        if issubclass(exc_type, EXIT_EXCEPTIONS) or context is None:
            hub.handle_system_error(exc_type, exc, tb)
        elif not issubclass(exc_type, hub.NOT_ERROR):
            log.emit(LogEvent.TASK_FAILED, error=repr(exc), where=error_location(exc))

    hub.handle_error = handle_error


@contextmanager
def contain_errors(log: EventLog, **item: str) -> Iterator[None]:
    """Log an unexpected error in the handling of one item, so that it affects no other item.

    :param item: fields of the log line that name the item.
    """
    try:
        yield
    except Exception as exc:
        log.emit(LogEvent.ITEM_FAILED, error=repr(exc), where=error_location(exc), **item)


def keep_running(loop: Callable[[], None], clock: Clock, log: EventLog) -> None:
    """Run a loop until it returns, and restart it whenever it ends with an error."""
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


def spawn_with_callback(run: Callable[[], None], on_failed: Callable[[], None]) -> gevent.Greenlet:
    """Spawn a greenlet whose failure must be handled.

    :param on_failed: called when it ends with an error; the error itself is logged by the handler
        of :func:`log_failed_tasks`.
    """
    greenlet = gevent.spawn(run)
    greenlet.link_exception(lambda _: on_failed())
    return greenlet
