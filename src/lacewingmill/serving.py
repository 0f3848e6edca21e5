"""Runs a VM as a process, and logs its start and the error that ends it."""

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

__all__ = ["serve", "serve_jobs", "wait_for_settings"]

# The process ends after this time even if a slow reader has not taken the last log lines.
LOG_FLUSH_TIMEOUT_S = 0.3
# Traffic starts 12 s after the VMs; a file that is still invalid by then is not merely unfinished.
SETTINGS_TIMEOUT_S = 10.0
# Writing the file takes milliseconds.
SETTINGS_RETRY_INTERVAL_S = 0.1
# Name of the VM in log lines before its settings are read.
UNNAMED_VM = "unnamed"


def serve(path: Path) -> None:
    """Run an entry VM until it is stopped.

    :param path: the YAML file of its settings.
    :raises SettingsError: when the settings cannot be used.
    """
    open_standard_streams()
    from lacewingmill.composition import build_vm
    from lacewingmill.settings import load_settings

    settings = load_settings(path)
    configure_logging()
    with _log_process(path):
        log_failed_tasks(EventLog(settings.vm))
        vm = build_vm(settings)
        for signum in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signum, vm.begin_stop)
        vm.start()
        vm.wait()


def serve_jobs(path: Path) -> None:
    """Run a VM on the users' platform until it is stopped.

    :param path: the platform's settings file.
    :raises SettingsError: when it cannot be used.
    """
    open_standard_streams()
    signals = ProcessSignals()  # before the imports, which take most of the start time
    from lacewingmill.platform import load_platform_settings

    writer = standard_output()
    configure_logging(writer)
    try:
        with _log_process(path) as log:
            _run_job_vm(SettingsFile(path, load_platform_settings), log, signals)
    finally:
        writer.close(LOG_FLUSH_TIMEOUT_S)


def _run_job_vm(file: SettingsFile, log: EventLog, signals: ProcessSignals) -> None:
    """Run a VM, and another one whenever its settings change before it was ready."""
    clock = GeventClock()
    settings = wait_for_settings(file.load, clock, log, signals)
    while settings is not None:
        settings = _run_until_replaced(settings, file, clock, signals)


def _run_until_replaced(
    settings: JobVmSettings, file: SettingsFile, clock: Clock, signals: ProcessSignals
) -> JobVmSettings | None:
    """Run a VM until it is stopped.

    :return: the settings with which another VM must be run; ``None`` after a planned stop.
    """
    from lacewingmill.job_composition import build_job_vm

    log = EventLog(settings.vm)
    log_failed_tasks(log)
    vm = build_job_vm(settings)
    follower = SettingsFollower(file, clock, vm.reload, vm.reload_failed)
    signals.connect(vm.begin_stop, follower.reload)
    following = gevent.spawn(keep_running, follower.run, clock, log)
    vm.start()
    vm.wait()
    following.kill()
    return vm.replacement


def wait_for_settings(
    load: Callable[[], JobVmSettings], clock: Clock, log: EventLog, signals: ProcessSignals
) -> JobVmSettings | None:
    """Read the settings, and retry while they are invalid: the platform may be writing the file.

    :return: ``None`` when a stop of the process is requested meanwhile.
    :raises SettingsError: when they are still invalid after ``SETTINGS_TIMEOUT_S``.
    """
    deadline = clock.now() + SETTINGS_TIMEOUT_S
    reason = ""
    while not signals.stop_requested:
        try:
            return load()
        except SettingsError as exc:
            if clock.now() >= deadline:
                raise
            if exc.message != reason:
                reason = exc.message
                log.emit(LogEvent.SETTINGS_AWAITED, reason=reason)
        clock.sleep(SETTINGS_RETRY_INTERVAL_S)
    return None


@contextmanager
def _log_process(path: Path) -> Iterator[EventLog]:
    """Log the start of the process, and the error that ends it if there is one."""
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
