"""A fleet of processes as operators see it: status, audit, explain, leaving targets, new VMs."""

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

# After this time no entry VM may send new work to a leaving target.
LEAVING_GRACE_S = 4.0
READY_WAIT_S = 20.0
HISTORY_COMMIT_S = 2.5


def run_command(fleet, *argv):
    """Run an operator command through the control address of an entry VM."""
    command = [sys.executable, "-m", "lacewingmill", *argv, "--to", fleet.ports.control(2)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_status_audit_and_explain(guild_fleet):
    body = b'{"run_s": 0.2}'
    send(guild_fleet, "/plume-desk/dye", "kingston-workshop", body, key="explained")
    status = run_command(guild_fleet, "status")
    assert status.returncode == 0
    assert "entry-0: ready, revision 1" in status.stdout
    assert "cell: 24 workers, " in status.stdout
    audit = json.loads(run_command(guild_fleet, "audit", "--json").stdout)
    assert [(entry["revision"], entry["by"]) for entry in audit] == [(1, "demo")]
    job_id = make_job_id("plume-desk", "kingston-workshop", "explained")
    explained = run_command(guild_fleet, "explain", job_id)
    assert "done" in explained.stdout
    assert "on its guarantee" in explained.stdout


def test_publish_conflict_names_both_revisions(guild_fleet):
    result = guild_fleet.publish("examples/guild", "--base", "0")
    assert result.returncode == 4
    assert "revision 0" in result.stderr
    assert "revision 1" in result.stderr


def test_guarantees_that_do_not_fit_are_not_published(guild_fleet, tmp_path):
    text = Path("examples/guild/plume-desk.lacewingmill.yaml").read_text()
    invalid = text.replace("guarantees: {dye-run: 2}", "guarantees: {dye-run: 99}")
    (tmp_path / "plume-desk.lacewingmill.yaml").write_text(invalid)
    result = guild_fleet.publish(str(tmp_path))
    assert result.returncode == 3
    assert "teams.kingston-workshop.guarantees.dye-run" in result.stderr


def test_leaving_executor_gets_no_new_work_after_a_few_seconds(guild_fleet):
    vms = list_vms(guild_fleet.deployment, guild_fleet.ports)
    leaving = next(vm for vm in vms if vm.role is Role.EXECUTOR)
    guild_fleet.put_vm_entry(attrs.evolve(leaving, state=VmState.LEAVING))
    gevent.sleep(LEAVING_GRACE_S)
    answered_by = {
        assert_response_matches(
            send(guild_fleet, "/plume-desk/stock", "undertakers", b"{}", key=f"leave-{n}"),
            b"{}",
            f"leave-{n}",
        ).answered_by
        for n in range(150)
    }
    assert leaving.name not in answered_by
    assert len(answered_by) > 10


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


def test_async_job_result_is_served_at_its_location(guild_fleet):
    body = b'{"run_s": 0.2}'
    reply = send(
        guild_fleet, "/plume-desk/dye", "undertakers", body, key="later", Prefer="respond-async"
    )
    assert reply.status == 202
    location = reply.headers["location"]
    for _ in range(20):
        result = guild_fleet.client.call(
            guild_fleet.ports.balancer, "GET", f"{location}?wait=5", timeout_s=10.0
        )
        if result.status == 200:
            break
    assert_response_matches(result, body, "later")


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


def test_history_and_explain_survive_the_loss_of_the_owner(guild_fleet):
    body = b'{"run_s": 0.2}'
    send(guild_fleet, "/plume-desk/dye", "undertakers", body, key="remembered")
    job_id = make_job_id("plume-desk", "undertakers", "remembered")
    gevent.sleep(HISTORY_COMMIT_S)
    owner = find_owner(guild_fleet)
    guild_fleet.entry_processes[owner].kill()
    guild_fleet.entry_processes[owner].wait()
    assert find_owner(guild_fleet) != owner
    guild_fleet.start_entry(owner)
    guild_fleet._wait_until_ready(guild_fleet.ports.control(owner), "/ready")
    explained = run_command(guild_fleet, "explain", job_id)
    assert explained.returncode == 0, explained.stdout + explained.stderr
    assert "gang_started" in explained.stdout
    assert "job_done" in explained.stdout
    gevent.sleep(HISTORY_COMMIT_S)
    records = json.loads(run_command(guild_fleet, "history", "--json").stdout)
    owners = [record["vm"] for record in records if record["event"] == "cell_taken"]
    assert len(set(owners)) >= 2, owners


def test_leaving_worker_finishes_its_gangs_and_gets_no_new_ones(guild_fleet):
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
    gevent.sleep(LEAVING_GRACE_S)
    for number in range(30):
        key = f"match-{number}"
        reply = send(guild_fleet, "/plume-desk/match", "member-workshops", b"{}", key=key)
        assert assert_response_matches(reply, b"{}", key).answered_by not in leaving
    for number, call in enumerate(calls):
        assert_response_matches(call.get(), body, f"d{number}")


def test_publish_works_with_a_slow_store_and_reaches_a_vm_that_was_paused(guild_fleet):
    guild_fleet.set_faults(guild_fleet.ports.store, {"slow_s": 0.8})
    paused = guild_fleet.entry_processes[3]
    paused.send_signal(signal.SIGSTOP)
    try:
        result = guild_fleet.publish("examples/guild")
        assert "revision 2 accepted" in result.stdout, result.stdout + result.stderr
    finally:
        paused.send_signal(signal.SIGCONT)
        guild_fleet.set_faults(guild_fleet.ports.store, {"slow_s": 0.0})
    statuses = OperatorClient(guild_fleet.ports.control(0)).wait_in_force(2)
    assert {status.vm: status.revision for status in statuses} == dict.fromkeys(
        (f"entry-{number}" for number in guild_fleet.entry_processes), 2
    )
