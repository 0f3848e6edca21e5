"""The start of ``serve-jobs`` as the deploy file runs it: a process, and no platform to reach."""

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
from fakes import VirtualClock

from lacewingmill.events import EventLog, configure_logging
from lacewingmill.exceptions import SettingsError
from lacewingmill.serving import SETTINGS_TIMEOUT_S, wait_for_settings
from lacewingmill.settings_file import CHECK_INTERVAL_S, SettingsFile, SettingsFollower
from standins.platform import write_settings

ROOT = Path(__file__).parent.parent
LAUNCH = ROOT / "deploy" / "launch.py"
# A start that takes longer hangs; one takes about a second on a busy machine.
WATCHDOG_S = 60.0
POLL_S = 0.02


def free_ports(count):
    """Return ports that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class VmProcess:
    """One VM, its settings file and its standard output.

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
        return write_settings("vm0", self.front, self.ready, self.peers, self.store)

    def start(self, closed=()):
        """Start the process, with some of its standard streams closed."""
        code = (
            f"{self.prelude}\nimport runpy, sys\nsys.argv = ['launch.py', 'serve-jobs']\n"
            f"runpy.run_path({str(LAUNCH)!r}, run_name='__main__')"
        )
        env = {"PATH": "/usr/bin:/bin", "LANG": "C", "LACEWINGMILL_SETTINGS": str(self.path)}
        with self.output.open("wb") as output:
            closing = "".join(f" {number}>&-" for number in closed)
            self._process = subprocess.Popen(
                ["sh", "-c", f'exec "$0" -c "$1"{closing}', sys.executable, code],
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=env,
            )

    def wait(self, reached):
        """Wait until a condition holds; the process must not end before."""
        give_up_at = time.monotonic() + WATCHDOG_S
        while not reached():
            assert self._process.poll() is None, self.output.read_text()
            assert time.monotonic() < give_up_at, self.output.read_text()
            time.sleep(POLL_S)

    def serving(self):
        """Whether the VM answers the balancer."""
        conn = HTTPConnection("127.0.0.1", self.ready)
        try:
            conn.request("GET", "/ready")
            return conn.getresponse().status == 503  # there is no configuration
        except (OSError, HTTPException):
            return False
        finally:
            conn.close()

    def events(self):
        lines = self.output.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]

    def logged(self, event):
        return any(line["event"] == event for line in self.events())

    def opened(self, descriptor):
        """Return what a descriptor of the process stands for."""
        return os.readlink(f"/proc/{self._process.pid}/fd/{descriptor}")

    def signal(self, number):
        self._process.send_signal(number)

    def end(self):
        return self._process.wait(WATCHDOG_S)

    def kill(self):
        if self._process is not None:
            self._process.kill()
            self._process.wait()


@pytest.fixture
def vm(tmp_path):
    """A VM that is ended with its test."""
    made = []

    def make(**arguments):
        made.append(VmProcess(tmp_path, **arguments))
        return made[-1]

    yield make
    for process in made:
        process.kill()


def test_a_start_and_a_planned_stop_are_logged(vm):
    process = vm()
    process.start()
    process.wait(process.serving)
    process.signal(signal.SIGTERM)
    assert process.end() == 0
    names = [line["event"] for line in process.events()]
    assert names[0] == "process_begins"
    assert "vm_started" in names and names[-1] == "vm_stopped"


def test_an_error_that_ends_the_process_is_logged_with_its_place(vm):
    process = vm(
        prelude="import gevent, lacewingmill.lifecycle as lifecycle\n"
        "def fail(vm): raise OSError('on purpose')\n"
        "lifecycle.StoppableVm.wait = fail"
    )
    process.start()
    assert process.end() == 1
    failed = process.events()[-1]
    assert failed["event"] == "process_failed"
    assert failed["error"] == "OSError('on purpose')" and failed["where"].endswith(" in fail")


NO_ACCOUNT = """
import pwd
def unknown(uid):
    raise KeyError(f"getpwuid(): uid not found: {uid}")
pwd.getpwuid = unknown
"""


# Guards against a FAULT: every VM ended at its start where its user id had no name.
def test_a_vm_starts_under_a_user_id_without_a_name(vm):
    process = vm(prelude=NO_ACCOUNT)
    process.start()
    process.wait(process.serving)


SLOW_EXIT = "import atexit, time\natexit.register(time.sleep, 600)\n"


# Guards against a request cut at a planned stop: it came while the process ended and read no more.
def test_a_stopped_vm_leaves_no_connection_open_while_its_process_ends(vm):
    process = vm(prelude=SLOW_EXIT)
    process.start()
    process.wait(process.serving)
    with closing(HTTPConnection("127.0.0.1", process.front)) as conn:
        conn.request("GET", "/")
        assert conn.getresponse().read()
        process.signal(signal.SIGTERM)
        process.wait(lambda: process.logged("vm_stopped"))
        conn.sock.settimeout(WATCHDOG_S / 4)
        assert conn.sock.recv(1) == b""


def hang_up(moment):
    """Return a prelude that sends the process SIGHUP when it first does something."""
    return (
        "import os, signal, sys\n"
        "sent = []\n"
        "def hook(event, args):\n"
        f"    if not sent and (event, str(args[0] if args else '')) == {moment!r}:\n"
        "        sent.append(event)\n"
        "        os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.addaudithook(hook)\n"
    )


# Guards against a process that ends when its settings change while it starts.
@pytest.mark.parametrize(
    "module", ["lacewingmill.cli", "gevent", "lacewingmill.serving", "lacewingmill.job_composition"]
)
def test_a_vm_that_is_told_of_changed_settings_while_it_starts_goes_on(vm, module):
    process = vm(prelude=hang_up(("import", module)))
    process.start()
    process.wait(process.serving)


# Guards against settings that stay old because the signal came while they were being read.
def test_settings_that_change_while_they_are_read_are_read_again(vm):
    process = vm()
    process.prelude = hang_up(("open", str(process.path)))
    process.start()
    process.wait(lambda: process.logged("settings_reloaded"))
    process.wait(process.serving)


# Guards against settings that stay old because the platform changed them without a signal.
def test_settings_that_change_without_a_signal_are_taken_in_once():
    clock, taken, faults = VirtualClock(), [], []
    path = SimpleNamespace(content=b"first")
    path.read_bytes = lambda: path.content

    def parse(path):
        if not path.content:
            raise SettingsError("field ip is missing", step="settings")
        return path.content

    file = SettingsFile(path, parse)
    file.load()
    following = gevent.spawn(SettingsFollower(file, clock, taken.append, faults.append).run)
    try:
        for path.content in (b"first", b"second", b"", b"third"):
            clock.advance(2 * CHECK_INTERVAL_S)
    finally:
        following.kill()
    assert taken == [b"second", b"third"]
    assert faults == ["field ip is missing"]


def test_a_vm_whose_settings_file_changes_says_so_without_a_signal(vm):
    process = vm()
    process.start()
    process.wait(process.serving)
    process.path.write_text(process.settings().replace("grace_s=6", "grace_s=5"))
    process.wait(lambda: process.logged("settings_reloaded"))


# Guards against a process that ends because its settings file is still being written.
@pytest.mark.parametrize("unfinished", ["", "node=vm0\nip=127.0.0.1\nlisten.fr", None])
def test_a_vm_waits_for_settings_that_are_being_written(vm, unfinished):
    process = vm()
    if unfinished is None:
        process.path.unlink()
    else:
        process.path.write_text(unfinished)
    process.start()
    process.wait(lambda: process.logged("settings_awaited"))
    process.path.write_text(process.settings())
    process.wait(process.serving)


def test_a_vm_that_waits_for_its_settings_stops_when_it_is_told_to(vm):
    process = vm()
    process.path.write_text("")
    process.start()
    process.wait(lambda: process.logged("settings_awaited"))
    process.signal(signal.SIGTERM)
    assert process.end() == 0


def test_settings_that_stay_wrong_end_the_wait_with_their_fault():
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


def occupied(port):
    """Return a socket that another process might hold at a port of the VM."""
    sock = socket.create_server(("127.0.0.1", port))
    sock.listen()
    return sock


# Guards against a process that ends because one of its addresses is still taken.
@pytest.mark.parametrize("name", ["front", "ready", "peers"])
def test_a_vm_waits_for_an_address_that_is_taken(vm, name):
    process = vm()
    with occupied(getattr(process, name)):
        process.start()
        process.wait(lambda: process.logged("address_taken"))
        assert not process.logged("vm_started")
    process.wait(lambda: process.logged("vm_started"))
    process.wait(process.serving)


# Guards against a process that ends because the address of its metrics is taken.
def test_a_vm_serves_while_the_address_of_its_metrics_is_taken(vm):
    process = vm()
    with occupied(process.peers + 1):
        process.start()
        process.wait(lambda: process.logged("address_taken"))
        process.wait(process.serving)


def test_a_vm_that_waits_for_an_address_stops_when_it_is_told_to(vm):
    process = vm()
    with occupied(process.front):
        process.start()
        process.wait(lambda: process.logged("address_taken"))
        process.signal(signal.SIGTERM)
        assert process.end() == 0


# Guards against a process without standard streams that ends, or writes its log into a socket.
@pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
def test_a_vm_starts_with_closed_standard_streams(vm, closed):
    process = vm()
    process.start(closed)
    process.wait(process.serving)
    assert [process.opened(number) for number in closed] == ["/dev/null"] * len(closed)
    process.signal(signal.SIGTERM)
    assert process.end() == 0
    assert process.logged("vm_stopped") is (1 not in closed)


NO_THREADS = """
import _thread, threading
def refuse(*args, **kwargs):
    raise RuntimeError("can't start new thread")
threading.Thread.start = refuse
_thread.start_new_thread = refuse
"""


# Guards against a process that ends where its user may start no more threads.
def test_a_vm_starts_without_threads(vm):
    process = vm(prelude=NO_THREADS)
    process.start()
    process.wait(process.serving)
