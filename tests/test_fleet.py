"""A fleet of processes seen by operators: status, audit, explain, leaving targets, new VMs."""

import json
import signal
import subprocess
import sys
from pathlib import Path

import attrs
import gevent
import msgspec
from fleet_calls import assert_response_matches, send

from bench.faults import find_owner
from bench.load import read_ledger
from lacewingmill.client import OperatorClient
from lacewingmill.models import Role, VmState
from lacewingmill.routing.jobs import make_job_id
from standins.fleet import list_vms

LEAVING_KNOWN_S = 4.0
READY_WAIT_S = 20.0
HISTORY_COMMITTED_S = 2.5


def command(fleet, *argv):
    line = [sys.executable, "-m", "lacewingmill", *argv, "--to", fleet.ports.control(2)]
    return subprocess.run(line, capture_output=True, text=True, check=False)


def test_status_audit_and_explain(guild_fleet):
    body = b'{"run_s": 0.2}'
    send(guild_fleet, "/plume-desk/dye", "kingston-workshop", body, key="explained")
    status = command(guild_fleet, "status")
    assert status.returncode == 0
    assert "entry-0: ready, revision 1" in status.stdout
    assert "cell: 24 workers, " in status.stdout
    audit = json.loads(command(guild_fleet, "audit", "--json").stdout)
    assert [(entry["revision"], entry["by"]) for entry in audit] == [(1, "demo")]
    job_id = make_job_id("plume-desk", "kingston-workshop", "explained")
    explained = command(guild_fleet, "explain", job_id)
    assert "done" in explained.stdout
    assert "on its guarantee" in explained.stdout


def test_racing_operator_is_told_both_revisions(guild_fleet):
    done = guild_fleet.publish("examples/guild", "--base", "0")
    assert done.returncode == 4
    assert "revision 0" in done.stderr
    assert "revision 1" in done.stderr


def test_guarantees_that_cannot_pack_are_not_published(guild_fleet, tmp_path):
    text = Path("examples/guild/plume-desk.lacewingmill.yaml").read_text()
    wrong = text.replace("guarantees: {dye-run: 2}", "guarantees: {dye-run: 99}")
    (tmp_path / "plume-desk.lacewingmill.yaml").write_text(wrong)
    done = guild_fleet.publish(str(tmp_path))
    assert done.returncode == 3
    assert "teams.kingston-workshop.guarantees.dye-run" in done.stderr


def test_leaving_executor_gets_no_new_work_after_seconds(guild_fleet):
    vms = list_vms(guild_fleet.deployment, guild_fleet.ports)
    leaving = next(vm for vm in vms if vm.role is Role.EXECUTOR)
    guild_fleet.put_vm_entry(attrs.evolve(leaving, state=VmState.LEAVING))
    gevent.sleep(LEAVING_KNOWN_S)
    answered = {
        assert_response_matches(
            send(guild_fleet, "/plume-desk/stock", "undertakers", b"{}", key=f"leave-{n}"),
            b"{}",
            f"leave-{n}",
        ).answered_by
        for n in range(150)
    }
    assert leaving.name not in answered
    assert len(answered) > 10


def test_serve_has_one_process_and_one_thread(guild_fleet):
    pid = guild_fleet.entry_processes[0].pid
    assert Path(f"/proc/{pid}/task/{pid}/children").read_text() == ""
    assert len(list(Path(f"/proc/{pid}/task").iterdir())) == 1


def test_metrics_are_served(guild_fleet):
    address = guild_fleet.ports.entry(0)
    send(guild_fleet, "/plume-desk/stock", "undertakers", b"{}", address=address)
    reply = guild_fleet.client.call(guild_fleet.ports.control(0), "GET", "/metrics", timeout_s=5.0)
    for name in (b"lacewingmill_requests_total", b"lacewingmill_request_seconds_bucket"):
        assert name in reply.body


def test_refusals_are_problem_documents(guild_fleet):
    for path, team, status in (
        ("/plume-desk/nothing", "undertakers", 404),
        ("/plume-desk/stock", "strangers", 400),
    ):
        reply = send(guild_fleet, path, team, b"{}")
        assert reply.status == status
        problem = msgspec.json.decode(reply.body)
        assert problem["outcome"] == "not_run"
        assert problem["step"]


def test_async_job_is_answered_at_its_url(guild_fleet):
    body = b'{"run_s": 0.2}'
    reply = send(
        guild_fleet, "/plume-desk/dye", "undertakers", body, key="later", Prefer="respond-async"
    )
    assert reply.status == 202
    location = reply.headers["location"]
    for _ in range(20):
        answer = guild_fleet.client.call(
            guild_fleet.ports.balancer, "GET", f"{location}?wait=5", timeout_s=10.0
        )
        if answer.status == 200:
            break
    assert_response_matches(answer, body, "later")


def test_new_vm_starts_from_its_peers_while_the_store_is_down(guild_fleet):
    guild_fleet.set_faults(guild_fleet.ports.store, {"down": True})
    try:
        guild_fleet.entry_processes[4].kill()
        guild_fleet.entry_processes[4].wait()
        guild_fleet.start_entry(4)
        guild_fleet._wait_until_ready(guild_fleet.ports.control(4), "/ready")
        statuses = OperatorClient(guild_fleet.ports.control(4)).statuses()
        assert {status.vm: status.revision for status in statuses}["entry-4"] == 1
        address = guild_fleet.ports.entry(4)
        reply = send(
            guild_fleet, "/plume-desk/stock", "undertakers", b"{}", key="s", address=address
        )
        assert_response_matches(reply, b"{}", "s")
    finally:
        guild_fleet.set_faults(guild_fleet.ports.store, {"down": False})


def test_history_and_explanation_outlive_the_owner(guild_fleet):
    body = b'{"run_s": 0.2}'
    send(guild_fleet, "/plume-desk/dye", "undertakers", body, key="remembered")
    job_id = make_job_id("plume-desk", "undertakers", "remembered")
    gevent.sleep(HISTORY_COMMITTED_S)
    owner = find_owner(guild_fleet)
    guild_fleet.entry_processes[owner].kill()
    guild_fleet.entry_processes[owner].wait()
    assert find_owner(guild_fleet) != owner
    guild_fleet.start_entry(owner)
    guild_fleet._wait_until_ready(guild_fleet.ports.control(owner), "/ready")
    explained = command(guild_fleet, "explain", job_id)
    assert explained.returncode == 0, explained.stdout + explained.stderr
    assert "gang_started" in explained.stdout
    assert "job_done" in explained.stdout
    gevent.sleep(HISTORY_COMMITTED_S)
    entry_processes = json.loads(command(guild_fleet, "history", "--json").stdout)
    takers = [entry["vm"] for entry in entry_processes if entry["event"] == "cell_taken"]
    assert len(set(takers)) >= 2, takers


def test_leaving_worker_ends_its_gangs_and_gets_no_new_ones(guild_fleet):
    body = b'{"run_s": 6.0}'
    calls = [
        gevent.spawn(send, guild_fleet, "/plume-desk/dye", "kingston-workshop", body, key=f"d{n}")
        for n in range(2)
    ]
    gevent.sleep(1.0)
    leaving = {row.who for row in read_ledger(guild_fleet) if row.key in ("d0", "d1")}
    assert len(leaving) == 2
    for vm in list_vms(guild_fleet.deployment, guild_fleet.ports):
        if vm.name in leaving:
            guild_fleet.put_vm_entry(attrs.evolve(vm, state=VmState.LEAVING))
    gevent.sleep(LEAVING_KNOWN_S)
    for number in range(30):
        key = f"match-{number}"
        reply = send(guild_fleet, "/plume-desk/match", "member-workshops", b"{}", key=key)
        assert assert_response_matches(reply, b"{}", key).answered_by not in leaving
    for number, call in enumerate(calls):
        assert_response_matches(call.get(), body, f"d{number}")


def test_publication_passes_a_slow_store_and_reaches_a_vm_that_was_paused(guild_fleet):
    guild_fleet.set_faults(guild_fleet.ports.store, {"slow_s": 0.8})
    paused = guild_fleet.entry_processes[3]
    paused.send_signal(signal.SIGSTOP)
    try:
        done = guild_fleet.publish("examples/guild")
        assert "revision 2 accepted" in done.stdout, done.stdout + done.stderr
    finally:
        paused.send_signal(signal.SIGCONT)
        guild_fleet.set_faults(guild_fleet.ports.store, {"slow_s": 0.0})
    statuses = OperatorClient(guild_fleet.ports.control(0)).wait_in_force(2)
    assert {status.vm: status.revision for status in statuses} == dict.fromkeys(
        (f"entry-{number}" for number in guild_fleet.entry_processes), 2
    )
