"""Entries that other writers leave among those of the workers: they cost nothing but themselves."""

import json

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from lacewingmill.addresses import is_address, is_port
from lacewingmill.exceptions import DocumentInvalid
from lacewingmill.jobs.ports import Record
from lacewingmill.platform import decode_worker
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from standins.platform.operator import SERVICE
from tests.test_platform_path import run

ENTRY = {
    "service": SERVICE,
    "addr": "10.8.9.9:1",
    "zone": "z0",
    "state": "ready",
    "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 8},
    "labels": ["a", "r0"],
    "born": 1,
}
DEEP = b"[" * 50_000 + b"]" * 50_000


def changed(**fields):
    return json.dumps(ENTRY | fields).encode()


def with_capacity(**fields):
    return changed(capacity=ENTRY["capacity"] | fields)


def with_raw(name, value):
    """Return an entry with a field whose value is given as JSON text."""
    fields = {key: item for key, item in ENTRY.items() if key != name}
    return json.dumps(fields)[:-1].encode() + b', "' + name.encode() + b'": ' + value + b"}"


ODD_VALUES = {
    "nested objects": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
    "nested lists in an unknown field": with_raw("extra", DEEP),
    "nested lists in a known field": with_raw("labels", DEEP),
    "no JSON": b"\xff\x00{",
    "nothing": b"",
    "a list": b"[]",
    "address without a port": changed(addr="10.8.9.9"),
    "port is no number": changed(addr="10.8.9.9:x"),
    "port with 5,000 digits": changed(addr="10.8.9.9:" + "9" * 5000),
    "port 0": changed(addr="10.8.9.9:0"),
    "port 99999": changed(addr="10.8.9.9:99999"),
    "port in other digits": changed(addr="10.8.9.9:\u0661\u0662"),
    "NUL in the host": changed(addr="10.8\u0000.9.9:1"),
    "line break in the host": changed(addr="10.8.9.9\r\nx: y:1"),
    "accelerators by the million": with_capacity(gpu=10**12),
    "accelerators beyond 64 bits": with_raw("capacity", b'{"gpu": 1' + b"0" * 400 + b"}"),
    "negative accelerators": with_capacity(gpu=-8),
    "negative processors": with_capacity(cpu=-1),
    "negative memory": with_capacity(mem_mb=-1),
    "processors beyond all limits": with_raw("capacity", b'{"cpu": 1e300}'),
    "infinite processors": with_raw("capacity", b'{"cpu": 1e999}'),
    "start time beyond 64 bits": with_raw("born", b"1" + b"0" * 400),
    "start time with 5,000 digits": with_raw("born", b"9" * 5000),
    "negative start time": changed(born=-1),
    "unknown state": changed(state="gone"),
    "service of another type": changed(service=[SERVICE]),
    "service with 100,000 characters": changed(service="s" * 100_000),
}
# Readable entries that name no worker either: nothing listens at the address, or nothing uses the
# service.
IDLE_VALUES = {
    "nobody listens": changed(),
    "unknown service": changed(service="nobody"),
    "the address of another worker": changed(addr="10.8.0.0:1"),
}
EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)
ANY_FIELD = st.sampled_from([*ENTRY, "extra"])
ANY_VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=False)
    | st.text(max_size=20)
    | st.from_regex(r"[0-9.]{1,15}:[0-9]{1,8}", fullmatch=True),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)


def put(fleet, name, value):
    fleet.kv.write(f"servers/{name}", value)


def finish_jobs(fleet, numbers):
    """Submit a job that needs all accelerators for each number; each must complete."""
    for number in numbers:
        steps = [step(count=len(fleet.executors), gpu=8)]
        assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(number), steps) == 200
        fleet.clock.advance(4.0)
        assert run(fleet, fleet.state, "vm1", "ordinary", job_id(number)) == "completed"


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_an_odd_entry_is_rejected_with_a_short_reason(value):
    with pytest.raises(DocumentInvalid) as info:
        decode_worker(Record("servers/odd", value, 1))
    assert "servers/odd" in info.value.message and len(info.value.message) < 400


@EXAMPLES
@given(st.dictionaries(ANY_FIELD, ANY_VALUE, max_size=3), st.text(max_size=10))
def test_any_entry_is_rejected_or_within_the_limits(fields, name):
    value = json.dumps(ENTRY | fields).encode()
    try:
        entry = decode_worker(Record(f"servers/{name}", value, 1))
    except DocumentInvalid:
        return
    assert is_address(entry.address) and entry.worker.isprintable() and entry.worker.isascii()
    assert 0 <= entry.accelerators <= 1024 and 0 <= entry.incarnation <= 2**53
    assert 0 <= entry.processors <= 1e9 and 0 <= entry.memory_gb <= 1e9


@EXAMPLES
@given(st.text(max_size=12) | st.from_regex(r"[0-9]{1,6}", fullmatch=True))
def test_a_port_is_a_number_up_to_65535(text):
    assert is_port(text) == (text.isascii() and text.isdecimal() and 0 < int(text) < 65536)


@pytest.mark.parametrize("value", [*ODD_VALUES.values(), *IDLE_VALUES.values()])
def test_an_entry_written_while_an_owner_is_in_office_harms_nothing(value):
    fleet = PlatformFleet(vms=3)
    wait_for_owner(fleet)
    owner = fleet.owner
    director = fleet.vms[owner].director
    put(fleet, "a-odd", value)
    fleet.executors.append(fleet.add_executor(4))  # in the same batch of changes
    put(fleet, "z-odd", value)
    fleet.clock.advance(3.0)
    finish_jobs(fleet, (1, 2))
    assert fleet.owner == owner and fleet.vms[owner].director is director
    assert any(entry.executor == "i-4" for entry in fleet.run_history.runs)
    fleet.check_invariants()


@pytest.mark.parametrize("value", [*ODD_VALUES.values(), *IDLE_VALUES.values()])
def test_an_entry_written_before_a_takeover_does_not_stop_it(value):
    fleet = PlatformFleet(vms=3)
    wait_for_owner(fleet)
    put(fleet, "a-odd", value)
    put(fleet, "z-odd", value)
    fleet.clock.advance(2.0)
    killed = fleet.owner
    fleet.kill(killed)
    if killed == "vm1":
        fleet.start_vm("vm1")
    fleet.clock.advance(1.0)
    wait_for_owner(fleet, seconds=8.0)
    director = fleet.vms[fleet.owner].director
    fleet.executors.append(fleet.add_executor(4))
    fleet.clock.advance(12.0)
    finish_jobs(fleet, (1, 2))
    assert fleet.vms[fleet.owner].director is director
    assert any(entry.executor == "i-4" for entry in fleet.run_history.runs)
    fleet.check_invariants()


@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("value", [ODD_VALUES["nested objects"], ODD_VALUES["port 0"]])
def test_the_runs_of_a_worker_whose_entry_turns_unreadable_continue(value, state):
    """A lost poll or two must not be taken for its exit, as it would for a worker that has left."""
    fleet = PlatformFleet(vms=1, executors=2)
    wait_for_owner(fleet)
    worker = fleet.executors[0]
    steps = [step(count=2, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=9")
    fleet.operator.register(worker, state=state)
    fleet.clock.advance(2.0)
    put(fleet, worker.name, value)
    fleet.clock.advance(1.5)
    fleet.network.reset_holds[worker.name] = 1
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert [entry.outcome for entry in fleet.run_history.runs] == ["done", "done"]
    fleet.operator.register(worker)
    fleet.clock.advance(2.0)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), steps)
    fleet.clock.advance(3.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(2)) == "completed"
    fleet.check_invariants()


def test_an_entry_that_lapsed_and_is_back_is_no_sign_of_an_exit():
    """The entry of a leaving worker lapses with the store; the worker must keep what it runs."""
    fleet = PlatformFleet(vms=1, executors=1)
    wait_for_owner(fleet)
    worker = fleet.executors[0]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(gpu=8)], "run_s=12")
    fleet.operator.register(worker, state="draining")
    fleet.clock.advance(2.0)
    fleet.operator.unregister(worker)
    fleet.clock.advance(1.5)
    fleet.operator.register(worker, state="draining")
    fleet.clock.advance(1.5)
    fleet.network.reset_holds[worker.name] = 1
    fleet.clock.advance(10.0)
    assert [entry.outcome for entry in fleet.run_history.runs] == ["done"]
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
