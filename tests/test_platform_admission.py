"""Jobs that are refused for load or because they fit nowhere, on the emulated platform."""

import pytest

from standins.platform.executors import SubmittedJob
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

# The owner refuses nothing for load before it has planned for ten seconds, nor as unfitting before
# it has for thirty.
SETTLED_S = 32.0
TOO_BIG = [step(gpu=9)]


@pytest.fixture
def full_fleet():
    """A fleet whose workers are busy for a minute, with many short tasks that wait behind."""
    fleet = PlatformFleet(vms=3)
    fleet.clock.advance(SETTLED_S)
    long = [step(count=32, est_runtime_ms=90_000)]
    assert run(fleet, fleet.submit, "vm0", "patient", job_id(1), long, "run_s=90") == 200
    many = [step(count=300)]
    assert run(fleet, fleet.submit, "vm0", "patient", job_id(2), many, seconds=0.1) == 200
    fleet.clock.advance(1.5)
    for vm in fleet.vms:
        learn_load(fleet, vm)
    return fleet


def learn_load(fleet, vm):
    """Let a VM get the owner's digest of the load, which a reply of the owner brings."""
    run(fleet, fleet.state, vm, "patient", job_id(1), seconds=0.1)


def submit(fleet, vm, number, seconds=0.2):
    return run(fleet, fleet.submit, vm, "patient", job_id(number), [step()], seconds=seconds)


def call_submit(fleet, vm, number, steps):
    fleet.run_history.jobs.setdefault(job_id(number), SubmittedJob(steps))
    body = {"spec": "run_s=1", "steps": steps}
    return run(fleet, fleet.call, vm, "POST", f"/patient/{job_id(number)}", body, seconds=0.5)


def started_jobs(fleet):
    return {each.task.partition(".")[0] for each in fleet.run_history.runs}


def test_a_job_that_would_end_too_late_is_refused_at_every_vm_and_never_runs(full_fleet, capsys):
    for number, vm in enumerate(full_fleet.vms, start=20):
        learn_load(full_fleet, vm)
        status, body, headers = call_submit(full_fleet, vm, number, [step()])
        assert status == 429 and "too late" in body["error"]
        assert int(headers["Retry-After"]) > 3
    full_fleet.clock.advance(150.0)
    assert started_jobs(full_fleet) >= {job_id(1)}
    assert not started_jobs(full_fleet) & {job_id(20), job_id(21), job_id(22)}
    assert "cause=load" in capsys.readouterr().out


def test_a_job_that_fits_nowhere_is_refused_with_the_reason(fleet):
    fleet.clock.advance(SETTLED_S)
    assert call_submit(fleet, fleet.owner, 1, [step()])[0] == 200
    status, body, _ = call_submit(fleet, fleet.owner, 2, TOO_BIG)
    assert status == 503 and "the largest worker has 8" in body["error"]
    fleet.clock.advance(5.0)
    assert started_jobs(fleet) == {job_id(1)}


def test_a_retry_of_an_accepted_job_at_another_vm_is_not_refused(full_fleet):
    for vm in full_fleet.vms:
        assert submit(full_fleet, vm, 2) == 200


def test_a_job_is_accepted_when_the_owner_is_killed_right_after_a_digest(full_fleet):
    other = next(vm for vm in full_fleet.vms if vm != full_fleet.owner)
    assert submit(full_fleet, other, 20) == 429
    full_fleet.kill(full_fleet.owner)
    full_fleet.clock.advance(3.1)
    assert submit(full_fleet, other, 21, seconds=1.0) == 200
    wait_for_owner(full_fleet)
    full_fleet.clock.advance(2.0)
    for number, vm in enumerate(full_fleet.vms, start=22):
        assert submit(full_fleet, vm, number) == 200


def test_a_vm_that_is_cut_off_from_the_owner_accepts_once_its_digest_is_old(full_fleet):
    owner = full_fleet.owner
    other = next(vm for vm in full_fleet.vms if vm != owner)
    assert submit(full_fleet, other, 20) == 429
    full_fleet.network.cut = {(other, f"{owner}:82")}
    full_fleet.clock.advance(3.1)
    assert submit(full_fleet, other, 21) == 200
    full_fleet.network.cut = set()


def test_no_job_is_refused_for_load_while_the_store_cannot_tell_whether_it_is_stored(full_fleet):
    other = next(vm for vm in full_fleet.vms if vm != full_fleet.owner)
    full_fleet.kv.faults.down = True
    status, body, _ = call_submit(full_fleet, other, 20, [step()])
    assert status != 429 and "too late" not in body.get("error", "")
    full_fleet.kv.faults.down = False
