"""Decoding of corrupted or foreign data from the platform: a typed message or a clear error."""

import json
import math
import re
from pathlib import Path

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from lacewingmill.adapters.http_client import HttpReply
from lacewingmill.cli import ExitCode, main
from lacewingmill.exceptions import (
    DocumentInvalid,
    PeerError,
    RequestInvalid,
    SettingsError,
    TransportError,
)
from lacewingmill.jobs.model import Queue, TaskId
from lacewingmill.jobs.ports import HoldOrder, Record
from lacewingmill.platform import (
    HttpMachineList,
    HttpTransactionStore,
    HttpWorkerOrders,
    decode_configuration,
    decode_worker,
    load_platform_settings,
)
from lacewingmill.platform.handlers import decode_job
from lacewingmill.platform.orders import format_task, parse_task
from standins.platform import configuration

SRC = Path(__file__).parent.parent / "src" / "lacewingmill"
WIRE_NAMES = re.compile(
    r"acked_upto|kv-(key|range|watch|txn|lease|keep)|run-(start|stop)|op/(config|evacuate)|servers/"
    r"|X-Expect-Instance|X-Deadline-Ms|deadline_ms|mem_mb|max_per_server|long_running"
    r"|admission_check|api_keys|slo_ms|est_runtime_ms|data_rack\b.*ms|wait_ms|ttl_ms|clock_ms"
    r"|next_token|page_token|expect_rev|cold_left_ms|machine-(move|upkeep)|guaranteed\.gpu",
)
QUEUE = Queue("q", "h", "/q/", "svc", 0, 2, 1.5, 0.25)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "gpu": 1, "gang": True}]}
WORKER = {
    "service": "svc",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 8},
    "labels": ["a", "r1"],
    "born": 1700000000000,
}
EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)


def test_names_of_the_platform_occur_in_its_adapter_only():
    found = [
        f"{path.relative_to(SRC)}: {match.group()}"
        for path in SRC.rglob("*.py")
        if "platform" not in path.relative_to(SRC).parts
        for match in WIRE_NAMES.finditer(path.read_text())
        if match.group() != "data_rack"
    ]
    assert found == []


@st.composite
def corrupted(draw, document):
    """Draw a JSON document with a value replaced or removed at any depth, sometimes truncated."""
    copy = json.loads(json.dumps(document))
    node = copy
    while True:
        keys = list(node) if isinstance(node, dict) else list(range(len(node)))
        key = draw(st.sampled_from(keys))
        if isinstance(node[key], dict | list) and node[key] and draw(st.booleans()):
            node = node[key]
            continue
        if draw(st.booleans()):
            node[key] = draw(JSON_VALUES)
        else:
            del node[key]
        break
    data = json.dumps(copy).encode()
    return data if draw(st.booleans()) else data[: draw(st.integers(0, len(data)))]


@EXAMPLES
@given(st.binary(max_size=40) | JSON_VALUES.map(lambda v: json.dumps(v).encode()) | corrupted(JOB))
def test_job_is_decoded_or_rejected_with_a_reason(body):
    try:
        submission = decode_job(body, QUEUE, "team", "0" * 16)
    except RequestInvalid as exc:
        assert exc.status == 400 and exc.message
        return
    assert submission.steps and all(step.count >= 1 for step in submission.steps)
    assert submission.critical_path_s() >= 0


@EXAMPLES
@given(st.binary(max_size=40) | corrupted(configuration(1)))
def test_configuration_is_decoded_or_rejected_with_a_reason(value):
    try:
        table = decode_configuration(value)
    except DocumentInvalid as exc:
        assert exc.message
        return
    table.find("desk.example", "/urgent/1")


@EXAMPLES
@given(st.binary(max_size=40) | corrupted(WORKER))
def test_worker_entry_is_decoded_or_rejected_with_a_reason(value):
    try:
        entry = decode_worker(Record("servers/i-1", value, 1))
    except DocumentInvalid as exc:
        assert "servers/i-1" in exc.message
        return
    assert entry.worker == "i-1"


class FixedReplyClient:
    """An HTTP client that returns the same response to every call."""

    def __init__(self, status, body):
        self.reply = HttpReply(status, {}, body)

    def call(self, *args, **kwargs):
        return self.reply


HOLD_REPLY = {
    "clock_ms": 5,
    "running": [["a.0.0.1", 1, "", 10]],
    "ended": [[1, "a.0.0.1", 1, "done", ""]],
    "born": 7,
}


@EXAMPLES
@given(st.binary(max_size=40) | corrupted(HOLD_REPLY), st.sampled_from([200, 409, 421, 500]))
def test_hold_response_is_decoded_or_raises_a_peer_error(body, status):
    entry = decode_worker(Record("servers/i-1", json.dumps(WORKER).encode(), 1))
    try:
        report = HttpWorkerOrders(FixedReplyClient(status, body)).hold(
            entry, HoldOrder(1, 0, 0.0, 0.0), timeout_s=1.0
        )
    except PeerError as exc:
        assert exc.message
        return
    assert status == 200 and report.clock_s is not None


MACHINE_LIST = {"machines": [{"id": "i-1", "state": "up"}, {"id": None}, {}], "next_token": None}


@EXAMPLES
@given(st.binary(max_size=40) | corrupted(MACHINE_LIST), st.sampled_from([200, 429, 503]))
def test_machine_list_is_read_completely_or_raises_an_error(body, status):
    machines = HttpMachineList("10.0.0.1:1", FixedReplyClient(status, body))
    try:
        workers = machines.workers(timeout_s=1.0)
    except TransportError as exc:
        assert exc.message
        return
    assert status == 200 and all(isinstance(worker, str) for worker in workers)


@EXAMPLES
@given(st.binary(max_size=40) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
def test_store_response_is_decoded_or_raises_a_peer_error(body):
    store = HttpTransactionStore(
        "10.0.0.1:1", FixedReplyClient(200, body), lambda kind, outcome: None
    )
    for call in (lambda: store.read("k"), lambda: store.scan("k"), lambda: store.grant(1.0)):
        try:
            call()
        except PeerError as exc:
            assert exc.message


def test_task_names_round_trip():
    task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
    assert format_task(task) == "5c0e7a21d94b36f8.0.1.17"
    assert parse_task(format_task(task)) == task
    with pytest.raises(ValueError, match="not enough values"):
        parse_task("17")


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ("platform.addr=", "field platform.addr is missing"),
        ("bounds.grace_s=soon", "field bounds.grace_s must be a number, not 'soon'"),
        ("nonsense", "line 1 has no '='"),
        ("port_range=seven,eight", "field port_range must be a range of ports, not 'seven,eight'"),
        ("listen.front=10.1.0.19", "field listen.front must be HOST:PORT, not '10.1.0.19'"),
        ("platform.addr=10.9.0.1:port", "field platform.addr must be HOST:PORT"),
        ("advice=nowhere", "field advice must be HOST:PORT, not 'nowhere'"),
    ],
)
def test_error_names_the_invalid_setting(tmp_path, change, message):
    name = change.partition("=")[0]
    lines = [line for line in SETTINGS if not line.startswith(name + "=")]
    path = tmp_path / "settings.conf"
    path.write_text("\n".join([change, *lines]))
    with pytest.raises(SettingsError, match=message):
        load_platform_settings(path)


# Guards against an uncaught decoding error, which ended the process or made a reload fail without a
# log line.
def test_error_names_a_settings_file_that_is_not_utf_8(tmp_path):
    path = tmp_path / "settings.conf"
    path.write_bytes(b"node=\xff\xfe\n")
    with pytest.raises(SettingsError, match="cannot read .*settings.conf"):
        load_platform_settings(path)


def test_settings_are_converted_to_seconds_and_addresses(tmp_path):
    path = tmp_path / "settings.conf"
    path.write_text("\n".join([*SETTINGS, "a.new.field=1"]))
    cfg = load_platform_settings(path)
    assert (cfg.front, cfg.peers, cfg.store) == ("10.1.0.19:8521", "10.1.0.19:7000", "10.9.0.1:1")
    assert cfg.limits.longest_hold_s == 6.0
    assert (cfg.advice, cfg.machines) == ("", "")


# Guards against a process that exits at startup because of an optional service.
@pytest.mark.parametrize(("value", "address"), [("10.2.0.1:84", "10.2.0.1:84"), ("nowhere", "")])
def test_invalid_address_of_the_machine_list_is_ignored(tmp_path, value, address):
    path = tmp_path / "settings.conf"
    path.write_text("\n".join([*SETTINGS, f"cloud.addr={value}"]))
    assert load_platform_settings(path).machines == address


@pytest.mark.parametrize(("value", "speed"), [("100.0", 100.0), ("", math.inf), ("?", math.inf)])
def test_missing_or_invalid_link_speed_means_no_limit(tmp_path, value, speed):
    path = tmp_path / "settings.conf"
    path.write_text("\n".join([*SETTINGS, f"limits.link_mbps={value}"]))
    assert load_platform_settings(path).link_mbps == speed


def test_unexpected_status_of_a_worker_is_a_transport_error():
    entry = decode_worker(Record("servers/i-1", json.dumps(WORKER).encode(), 1))
    orders = HttpWorkerOrders(FixedReplyClient(500, b""))
    with pytest.raises(TransportError, match="answered 500"):
        orders.stop(entry, TaskId("a", 0, 0, 0), 1, 1, timeout_s=1.0)


SETTINGS = [
    "node=front-a-1",
    "zone=a",
    "ip=10.1.0.19",
    "listen.front=10.1.0.19:8521",
    "listen.ready=10.1.0.19:8523",
    "port_range=7000,7015",
    "bounds.grace_s=6",
    "bounds.max_hold_ms=6000",
    "bounds.status_s=120",
    "platform.addr=10.9.0.1:1",
]


def test_check_command_prints_one_line_for_invalid_settings(tmp_path, capsys):
    path = tmp_path / "settings.conf"
    path.write_text("\n".join(SETTINGS))
    assert main(["check", str(path)]) == ExitCode.OK
    path.write_text("\n".join(line for line in SETTINGS if not line.startswith("ip=")))
    assert main(["check", str(path)]) == ExitCode.INVALID
    assert capsys.readouterr().err == "field ip is missing\n"
