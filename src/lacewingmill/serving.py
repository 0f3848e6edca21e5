"""Runs a VM as a process, and logs how the process began and why it ended."""

import os
import platform
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent

from lacewingmill.adapters.clock import GeventClock
from lacewingmill.adapters.log_writer import standard_output
from lacewingmill.adapters.streams import open_standard_streams
from lacewingmill.events import EventLog, LogEvent, configure_logging
from lacewingmill.exceptions import SettingsError
from lacewingmill.jobs.settings import JobVmSettings
from lacewingmill.ports import Clock
from lacewingmill.settings_file import SettingsFile, SettingsFollower
from lacewingmill.signals import ProcessSignals
from lacewingmill.tasks import error_location, keep_running, log_failed_tasks

__all__ = ["await_settings", "serve", "serve_jobs"]

# How long the last log lines may take to be read at the end of the process, in seconds.
LOG_FLUSH_TIMEOUT_S = 0.3
# Traffic starts 12 s after the VMs do; a file that is wrong until then is not being written.
SETTINGS_TIMEOUT_S = 10.0
# A file is written in milliseconds.
SETTINGS_RETRY_INTERVAL_S = 0.1
# Stands for the VM's name in log lines until its settings are read.
UNNAMED_VM = "unnamed"


def serve(path: Path) -> None:
    """Run an entry VM until it is stopped.

    :param path: its YAML settings.
    :raises SettingsError: when they cannot be used.
    """
    open_standard_streams()
    from lacewingmill.composition import build_vm
    from lacewingmill.settings import load_settings

    settings = load_settings(path)
    configure_logging()
    with _log_process(path):
        log_failed_tasks(EventLog(settings.vm))
        vm = build_vm(settings)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, vm.begin_stop)
        vm.start()
        vm.wait()


def serve_jobs(path: Path) -> None:
    """Run a VM on the users' platform until it is stopped.

    :param path: the platform's settings file.
    :raises SettingsError: when it cannot be used.
    """
    open_standard_streams()
    signals = ProcessSignals()  # before the imports, which take most of the start
    from lacewingmill.platform import load_platform_settings

    writer = standard_output()
    configure_logging(writer)
    try:
        with _log_process(path) as log:
            _run_job_vm(SettingsFile(path, load_platform_settings), log, signals)
    finally:
        writer.close(LOG_FLUSH_TIMEOUT_S)


def _run_job_vm(file: SettingsFile, log: EventLog, signals: ProcessSignals) -> None:
    from lacewingmill.job_composition import build_job_vm

    clock = GeventClock()
    settings = wait_for_settings(file.load, clock, log, signals)
    if settings is None:
        return
    vm_log = EventLog(settings.vm)
    log_failed_tasks(vm_log)
    vm = build_job_vm(settings)
    follower = SettingsFollower(file, clock, vm.reload, vm.reload_failed)
    signals.connect(vm.begin_stop, follower.reload)
    vm.start()
    gevent.spawn(keep_running, follower.run, clock, vm_log)
    vm.wait()


def wait_for_settings(
    load: Callable[[], JobVmSettings], clock: Clock, log: EventLog, signals: ProcessSignals
) -> JobVmSettings | None:
    """Read the settings, again while they cannot be used: the platform may be writing the file.

    :return: ``None`` when the process is asked to stop meanwhile.
    :raises SettingsError: when they cannot be used for too long.
    """
    give_up_at = clock.now() + SETTINGS_TIMEOUT_S
    reason = ""
    while not signals.stop_requested:
        try:
            return load()
        except SettingsError as exc:
            if clock.now() >= give_up_at:
                raise
            if exc.message != reason:
                reason = exc.message
                log.emit(LogEvent.SETTINGS_AWAITED, reason=reason)
        clock.sleep(SETTINGS_RETRY_INTERVAL_S)
    return None


@contextmanager
def _log_process(path: Path) -> Iterator[EventLog]:
    """Log that the process begins, and the error that ends it."""
    log = EventLog(UNNAMED_VM)
    log.emit(
        LogEvent.PROCESS_BEGINS,
        settings=str(path),
        python=platform.python_version(),
        user_id=os.getuid(),
    )
    try:
        yield log
    except Exception as exc:
        log.emit(LogEvent.PROCESS_FAILED, error=repr(exc), where=error_location(exc))
        raise
