"""Jobs while the store is down, slow, silent, loses its history or rejects some VMs."""

import pytest

from standins.platform import configuration
from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run

# Two VMs watch the configuration and the owner; the owner also polls the store and renews leases.
IDLE_CALLS_PER_S = 8
# Each of two VMs probes the store twice a second, for itself and for the other VM.
OUTAGE_CALLS_PER_S = 8


def test_a_lost_answer_of_the_store_loses_no_job(fleet):
    fleet.kv.faults.lose_writes = 1
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 200
    fleet.clock.advance(5.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"


def test_a_late_write_of_progress_never_replaces_a_newer_one(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=3)], "run_s=8")
    fleet.run_history.runs[0].run_s = 4.0
    fleet.run_history.runs[1].run_s = 5.0
    fleet.kv.faults.late_writes = 1
    fleet.clock.advance(4.0)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against "the job was not cancelled" (503) about a job whose tasks the owner has stopped.
@pytest.mark.parametrize(
    ("case", "status"),
    [("at the owner", 504), ("at another VM", 504), ("no answer", 504), ("no owner", 503)],
)
def test_a_cancellation_that_may_have_begun_is_not_called_refused(fleet, case, status):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()], "run_s=30")
    owner = fleet.owner
    other = next(name for name in fleet.vms if name != owner)
    fleet.kv.faults.down = True
    if case == "no answer":
        fleet.network.slow_servers[f"{owner}:82"] = 9.0
    if case == "no owner":
        fleet.kill(owner)
    vm = owner if case == "at the owner" else other
    reply = run(fleet, fleet.call, vm, "DELETE", f"/ordinary/{job_id(1)}", seconds=5.0)
    stopped = fleet.run_history.runs[0].ended_at is not None
    assert stopped == case.startswith("at ")
    assert reply[0] == status


def test_a_job_refused_while_the_store_is_down_never_runs(fleet):
    fleet.kv.faults.down = True
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 503
    fleet.kv.faults.down = False
    fleet.clock.advance(5.0)
    assert fleet.run_history.runs == []


def test_jobs_are_accepted_while_the_store_answers_no_watch(fleet):
    """Unanswered watches do not make the store count as unavailable for other calls."""
    fleet.kv.faults.deaf = True
    fleet.clock.advance(2.5)
    for number in range(1, 20):
        vm = "vm0" if number % 2 else "vm1"
        status = run(fleet, fleet.submit, vm, "ordinary", job_id(number), [step()], seconds=0.2)
        assert status == 200, f"job {number}"
    fleet.kv.faults.deaf = False
    fleet.kv.discard_history()
    fleet.clock.advance(12.0)
    for number in range(1, 20):
        assert run(fleet, fleet.state, "vm0", "ordinary", job_id(number)) == "completed"
    fleet.check_invariants()


def test_a_late_refusal_of_the_store_is_still_a_refusal(fleet):
    fleet.kv.faults.down = True
    fleet.kv.faults.slow_s = 0.4
    fleet.deadline_ms = 300
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 503


def test_refusals_stay_certain_while_other_vms_do_not_answer(fleet):
    """A write is relayed only through a VM that has just answered, so it rarely gets no answer."""
    fleet.kv.faults.down = True
    fleet.network.cut |= {("vm1", "vm0:82"), ("vm0", "vm1:82")}
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 503
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), [step()]) == 503
    fleet.kv.faults.down = False
    fleet.clock.advance(5.0)
    assert fleet.run_history.runs == []


def test_a_vm_that_the_store_rejects_submits_jobs_through_the_owner(fleet):
    other = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.kv.faults.rejected_clients.add(other)
    assert run(fleet, fleet.submit, other, "ordinary", job_id(1), [step()]) == 200
    fleet.clock.advance(2.0)
    assert run(fleet, fleet.state, other, "ordinary", job_id(1)) == "completed"


def test_a_store_that_discards_its_history_is_not_flooded(fleet):
    """After the history is discarded, the revision of the key itself is too old to watch from."""
    fleet.kv.discard_history()
    fleet.clock.advance(1.0)
    calls = sum(fleet.kv.calls.values())
    fleet.clock.advance(10.0)
    assert sum(fleet.kv.calls.values()) - calls <= 10 * IDLE_CALLS_PER_S
    fleet.operator.configure(configuration(2, keys=("key-b",)))
    fleet.clock.advance(2.0)
    answer = run(fleet, fleet.call, "vm0", "GET", f"/ordinary/{job_id(1)}", None, "key-b")
    assert answer[0] == 410


def test_an_owner_that_the_store_rejects_continues_through_another_vm(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=2)], "run_s=6")
    owner = fleet.owner
    fleet.kv.faults.rejected_clients.add(owner)
    assert run(fleet, fleet.submit, owner, "ordinary", job_id(2), [step()]) == 200
    fleet.clock.advance(8.0)
    assert fleet.owner == owner
    for number in (1, 2):
        assert run(fleet, fleet.state, owner, "ordinary", job_id(number)) == "completed"
    fleet.operator.configure(configuration(2, keys=("key-b",)))
    fleet.clock.advance(2.0)
    path = f"/ordinary/{job_id(1)}"
    assert run(fleet, fleet.call, owner, "GET", path, None, "key-b")[0] == 200


def test_a_store_that_is_down_for_all_vms_is_probed_and_not_flooded(fleet):
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    calls = sum(fleet.kv.calls.values())
    fleet.clock.advance(10.0)
    assert sum(fleet.kv.calls.values()) - calls <= 10 * OUTAGE_CALLS_PER_S


@pytest.mark.parametrize(("deadline_s", "total_s"), [(3, 4), (12, 8)])
def test_retry_after_grows_during_an_outage_within_the_deadline(fleet, deadline_s, total_s):
    """A client retries only a few times, so an outage of seconds must not use up all retries."""
    fleet.deadline_ms = deadline_s * 1000
    fleet.kv.faults.down = True
    waits = []
    for _ in range(4):
        path = f"/urgent/{job_id(1)}"
        body = {"spec": "run_s=1", "steps": [step()]}
        status, _, headers = run(fleet, fleet.call, "vm0", "POST", path, body, seconds=1.0)
        assert status == 503
        waits.append(int(headers["Retry-After"]))
        fleet.clock.advance(waits[-1])
    assert waits == sorted(waits) and waits[0] == 1 and sum(waits) >= total_s
    assert max(waits) <= max(1, deadline_s / 3)


def test_a_silent_store_leaves_one_outcome_unknown_and_then_refuses(fleet):
    """After a write without an answer, a read precedes the next writes, so refusals are certain."""
    fleet.kv.faults.silent = True
    statuses = []
    for number in range(1, 6):
        statuses.append(
            run(fleet, fleet.submit, "vm0", "ordinary", job_id(number), [step()], seconds=4.0)
        )
    fleet.kv.faults.silent = False
    fleet.clock.advance(8.0)
    assert statuses[0] in (503, 504)
    assert statuses[1:] == [503] * 4
    assert fleet.run_history.runs == []


def test_an_end_is_acknowledged_only_once_it_is_stored(fleet):
    """A second task keeps the worker busy, so that the next acknowledgement is sent at once."""
    steps = [step(count=2)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=9", seconds=3.0)
    fleet.run_history.runs[0].run_s = 4.0
    fleet.kv.faults.silent = True
    fleet.clock.advance(2.0)
    assert [(r.outcome, r.acknowledged) for r in fleet.run_history.runs] == [
        ("done", False),
        ("", False),
    ]
    for vm in list(fleet.vms):
        fleet.kill(vm)
    fleet.kv.faults.silent = False
    fleet.start_vm("vm7")
    wait_for_owner(fleet)
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, "vm7", "ordinary", job_id(1)) == "completed"
    assert len(fleet.run_history.runs) == 2
