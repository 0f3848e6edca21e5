"""Starts of ``serve-jobs`` as a process, as the deploy file runs it, with no platform to reach."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import closing
from http.client import HTTPConnection, HTTPException
from io import StringIO
from pathlib import Path
from types import SimpleNamespace

import gevent
import pytest
import structlog

from lacewingmill.events import EventLog, configure_logging
from lacewingmill.exceptions import SettingsError
from lacewingmill.serving import SETTINGS_TIMEOUT_S, wait_for_settings
from lacewingmill.settings_file import CHECK_INTERVAL_S, SettingsFile, SettingsFollower
from standins.platform import format_settings
from standins.virtual_clock import VirtualClock

ROOT = Path(__file__).parent.parent
LAUNCH = ROOT / "deploy" / "launch.py"
# A start takes about a second on a busy machine; one that takes longer than this hangs.
WATCHDOG_S = 60.0
POLL_INTERVAL_S = 0.02


def free_ports(count):
    """Return ports that are not in use."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class VmProcess:
    """A VM process with its settings file and standard output.

    :param prelude: Python code that the process runs before the launcher.
    """

    def __init__(self, folder, prelude=""):
        self.front, self.ready, self.peers, self.store = free_ports(4)
        self.path = folder / "settings.conf"
        self.output = folder / "stdout"
        self.prelude = prelude
        self._process = None
        self.path.write_text(self.settings())

    def settings(self):
        return format_settings("vm0", self.front, self.ready, self.peers, self.store)

    def start(self, closed=()):
        """Start the process.

        :param closed: descriptors of the standard streams that are closed in it.
        """
        code = (
            f"{self.prelude}\nimport runpy, sys\nsys.argv = ['launch.py', 'serve-jobs']\n"
            f"runpy.run_path({str(LAUNCH)!r}, run_name='__main__')"
        )
        env = {"PATH": "/usr/bin:/bin", "LANG": "C", "LACEWINGMILL_SETTINGS": str(self.path)}
        with self.output.open("wb") as output:
            redirects = "".join(f" {number}>&-" for number in closed)
            self._process = subprocess.Popen(
                ["sh", "-c", f'exec "$0" -c "$1"{redirects}', sys.executable, code],
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=env,
            )

    def wait(self, condition):
        """Wait until a condition holds; fail if the process ends before."""
        deadline = time.monotonic() + WATCHDOG_S
        while not condition():
            assert self._process.poll() is None, self.output.read_text()
            assert time.monotonic() < deadline, self.output.read_text()
            time.sleep(POLL_INTERVAL_S)

    def is_serving(self):
        """Return whether the VM answers the health check of the balancer."""
        conn = HTTPConnection("127.0.0.1", self.ready)
        try:
            conn.request("GET", "/ready")
            return conn.getresponse().status == 503  # there is no configuration
        except (OSError, HTTPException):
            return False
        finally:
            conn.close()

    def events(self):
        """Return the log lines so far, decoded."""
        lines = self.output.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]

    def has_logged(self, event):
        return any(line["event"] == event for line in self.events())

    def descriptor_target(self, descriptor):
        """Return the file to which a descriptor of the process refers."""
        return os.readlink(f"/proc/{self._process.pid}/fd/{descriptor}")

    def signal(self, number):
        self._process.send_signal(number)

    def wait_for_exit(self):
        return self._process.wait(WATCHDOG_S)

    def kill(self):
        if self._process is not None:
            self._process.kill()
            self._process.wait()


@pytest.fixture
def vm(tmp_path):
    """Make VM processes that are killed at the end of the test."""
    processes = []

    def make(**arguments):
        processes.append(VmProcess(tmp_path, **arguments))
        return processes[-1]

    yield make
    for process in processes:
        process.kill()


def test_a_start_and_a_planned_stop_are_logged(vm):
    process = vm()
    process.start()
    process.wait(process.is_serving)
    process.signal(signal.SIGTERM)
    assert process.wait_for_exit() == 0
    names = [line["event"] for line in process.events()]
    assert names[0] == "process_begins"
    assert "vm_started" in names and names[-1] == "vm_stopped"


def test_an_error_that_ends_the_process_is_logged_with_its_location(vm):
    process = vm(
        prelude="import gevent, lacewingmill.lifecycle as lifecycle\n"
        "def fail(vm): raise OSError('on purpose')\n"
        "lifecycle.StoppableVm.wait = fail"
    )
    process.start()
    assert process.wait_for_exit() == 1
    failed = process.events()[-1]
    assert failed["event"] == "process_failed"
    assert failed["error"] == "OSError('on purpose')" and failed["where"].endswith(" in fail")


UNKNOWN_USER = """
import pwd
def unknown(uid):
    raise KeyError(f"getpwuid(): uid not found: {uid}")
pwd.getpwuid = unknown
"""


# Guards against a VM that fails to start because its user id has no user name. This happened to
# every VM where user ids have no names.
def test_a_vm_starts_under_a_user_id_without_a_name(vm):
    process = vm(prelude=UNKNOWN_USER)
    process.start()
    process.wait(process.is_serving)


SLOW_EXIT = "import atexit, time\natexit.register(time.sleep, 600)\n"


# Guards against a request lost at a planned stop because it arrived on an open connection while the
# process was exiting and no longer read it.
def test_a_stopped_vm_leaves_no_connection_open_while_its_process_ends(vm):
    process = vm(prelude=SLOW_EXIT)
    process.start()
    process.wait(process.is_serving)
    with closing(HTTPConnection("127.0.0.1", process.front)) as conn:
        conn.request("GET", "/")
        assert conn.getresponse().read()
        process.signal(signal.SIGTERM)
        process.wait(lambda: process.has_logged("vm_stopped"))
        conn.sock.settimeout(WATCHDOG_S / 4)
        assert conn.sock.recv(1) == b""


def send_sighup_at(audit_event):
    """Return a prelude that sends SIGHUP to the process at the first match of an audit event.

    :param audit_event: name of the event and its first argument.
    """
    return (
        "import os, signal, sys\n"
        "sent = []\n"
        "def hook(event, args):\n"
        f"    if not sent and (event, str(args[0] if args else '')) == {audit_event!r}:\n"
        "        sent.append(event)\n"
        "        os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.addaudithook(hook)\n"
    )


# Guards against a process that SIGHUP ends during its start, before a handler is installed.
@pytest.mark.parametrize(
    "module", ["lacewingmill.cli", "gevent", "lacewingmill.serving", "lacewingmill.job_composition"]
)
def test_sighup_during_the_start_does_not_end_the_process(vm, module):
    process = vm(prelude=send_sighup_at(("import", module)))
    process.start()
    process.wait(process.is_serving)


# Guards against outdated settings after a SIGHUP that arrived while the settings were being read.
def test_settings_that_change_while_they_are_read_are_read_again(vm):
    process = vm()
    process.prelude = send_sighup_at(("open", str(process.path)))
    process.start()
    process.wait(lambda: process.has_logged("settings_reloaded"))
    process.wait(process.is_serving)


# Guards against outdated settings after a change that the platform made without a signal.
def test_settings_changed_without_a_signal_are_applied_once():
    clock, applied, errors = VirtualClock(), [], []
    path = SimpleNamespace(content=b"first")
    path.read_bytes = lambda: path.content

    def parse(path):
        if not path.content:
            raise SettingsError("field ip is missing", step="settings")
        return path.content

    file = SettingsFile(path, parse)
    file.load()
    follower = gevent.spawn(SettingsFollower(file, clock, applied.append, errors.append).run)
    try:
        for path.content in (b"first", b"second", b"", b"third"):
            clock.advance(2 * CHECK_INTERVAL_S)
    finally:
        follower.kill()
    assert applied == [b"second", b"third"]
    assert errors == ["field ip is missing"]


def test_a_vm_reloads_a_changed_settings_file_without_a_signal(vm):
    process = vm()
    process.start()
    process.wait(process.is_serving)
    process.path.write_text(process.settings().replace("grace_s=6", "grace_s=5"))
    process.wait(lambda: process.has_logged("settings_reloaded"))


# Guards against a process that ends because its settings file is still being written.
@pytest.mark.parametrize("unfinished", ["", "node=vm0\nip=127.0.0.1\nlisten.fr", None])
def test_a_vm_waits_for_settings_that_are_being_written(vm, unfinished):
    process = vm()
    if unfinished is None:
        process.path.unlink()
    else:
        process.path.write_text(unfinished)
    process.start()
    process.wait(lambda: process.has_logged("settings_awaited"))
    process.path.write_text(process.settings())
    process.wait(process.is_serving)


def test_a_vm_that_waits_for_its_settings_stops_on_sigterm(vm):
    process = vm()
    process.path.write_text("")
    process.start()
    process.wait(lambda: process.has_logged("settings_awaited"))
    process.signal(signal.SIGTERM)
    assert process.wait_for_exit() == 0


def test_settings_that_stay_invalid_end_the_wait_with_their_error():
    clock, stream = VirtualClock(), StringIO()
    configure_logging(stream)

    def load():
        raise SettingsError("field ip is missing", step="settings")

    waiting = gevent.spawn(
        wait_for_settings, load, clock, EventLog("vm0"), SimpleNamespace(stop_requested=False)
    )
    try:
        clock.advance(SETTINGS_TIMEOUT_S - 1.0)
        assert not waiting.ready()
        clock.advance(2.0)
        with pytest.raises(SettingsError, match="field ip is missing"):
            waiting.get()
    finally:
        structlog.reset_defaults()
    assert stream.getvalue().count("settings_awaited") == 1


def occupy(port):
    """Return a socket that listens on a port, as one of another process would."""
    sock = socket.create_server(("127.0.0.1", port))
    sock.listen()
    return sock


# Guards against a process that ends because one of its addresses is still in use.
@pytest.mark.parametrize("name", ["front", "ready", "peers"])
def test_a_vm_waits_for_an_address_that_is_in_use(vm, name):
    process = vm()
    with occupy(getattr(process, name)):
        process.start()
        process.wait(lambda: process.has_logged("address_taken"))
        assert not process.has_logged("vm_started")
    process.wait(lambda: process.has_logged("vm_started"))
    process.wait(process.is_serving)


# Guards against a process that ends because the address of its metrics is in use.
def test_a_vm_serves_while_the_address_of_its_metrics_is_in_use(vm):
    process = vm()
    with occupy(process.peers + 1):
        process.start()
        process.wait(lambda: process.has_logged("address_taken"))
        process.wait(process.is_serving)


def test_a_vm_that_waits_for_an_address_stops_on_sigterm(vm):
    process = vm()
    with occupy(process.front):
        process.start()
        process.wait(lambda: process.has_logged("address_taken"))
        process.signal(signal.SIGTERM)
        assert process.wait_for_exit() == 0


# Guards against a process that fails without its standard streams, or writes its log to a socket
# that was opened under the number of a closed one.
@pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
def test_a_vm_starts_with_closed_standard_streams(vm, closed):
    process = vm()
    process.start(closed)
    process.wait(process.is_serving)
    assert [process.descriptor_target(number) for number in closed] == ["/dev/null"] * len(closed)
    process.signal(signal.SIGTERM)
    assert process.wait_for_exit() == 0
    assert process.has_logged("vm_stopped") is (1 not in closed)


NO_THREADS = """
import _thread, threading
def refuse(*args, **kwargs):
    raise RuntimeError("can't start new thread")
threading.Thread.start = refuse
_thread.start_new_thread = refuse
"""


# Guards against a process that fails to start when its user may start no more threads.
def test_a_vm_starts_without_threads(vm):
    process = vm(prelude=NO_THREADS)
    process.start()
    process.wait(process.is_serving)


# Guards against a VM that stays not ready for good because it started on a settings file that was
# cut in its last line, where the rest of a port reads as another port.
@pytest.mark.parametrize("cut", [1, 2])
def test_a_vm_takes_the_whole_settings_file_after_it_started_on_a_part_of_it(vm, cut):
    process = vm()
    whole = process.settings()
    process.path.write_text(whole.rstrip()[:-cut])
    process.start()
    process.wait(process.is_serving)
    with occupy(process.store) as store:
        process.path.write_text(whole)
        process.wait(lambda: process.has_logged("settings_replaced"))
        store.settimeout(WATCHDOG_S)
        store.accept()[0].close()
    process.wait(process.is_serving)
    process.signal(signal.SIGTERM)
    assert process.wait_for_exit() == 0
