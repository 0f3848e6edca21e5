"""Acknowledgements of ends to workers that start again under their id; virtual time."""

import pytest

from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


def fleet_with_an_unacknowledged_end():
    """Return a fleet whose owner has stored an end that it has not acknowledged to its worker."""
    fleet = PlatformFleet(vms=1, executors=1)
    wait_for_owner(fleet)
    steps = [step(count=4)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=0.2", seconds=0.6)
    assert [entry.acknowledged for entry in fleet.run_history.runs].count(False) == 1
    return fleet


def start_again(fleet):
    """Let the worker crash and start again under its id."""
    fleet.executors[0].crash()
    fleet.operator.register(fleet.executors[0])


def check_that_a_task_runs_once(fleet, run_s):
    """Run one more task."""
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), [step()], f"run_s={run_s}", seconds=9.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(2)) == "completed"
    fleet.check_invariants()
    assert len(fleet.run_history.runs) == 5


# Guards against telling a worker to forget the end of a run that the owner has not seen: the worker
# started again between an earlier end and its acknowledgement, and then got a start.
@pytest.mark.parametrize("run_s", [0, 3])
def test_an_end_of_the_earlier_life_is_not_acknowledged_after_a_start(run_s):
    fleet = fleet_with_an_unacknowledged_end()
    start_again(fleet)
    check_that_a_task_runs_once(fleet, run_s)


# Guards against the same where the worker gets no start before the acknowledgement.
def test_an_end_of_the_earlier_life_is_not_acknowledged_to_an_idle_worker():
    fleet = fleet_with_an_unacknowledged_end()
    start_again(fleet)
    fleet.clock.advance(3.0)
    check_that_a_task_runs_once(fleet, 3)


# Guards against an end that is never acknowledged because the worker is idle.
def test_the_last_end_of_an_idle_worker_is_acknowledged():
    fleet = fleet_with_an_unacknowledged_end()
    polls = fleet.network.call_counts["/hold"]
    fleet.clock.advance(3.0)
    assert all(entry.acknowledged for entry in fleet.run_history.runs)
    assert fleet.network.call_counts["/hold"] - polls <= 2


# Guards against polls, which extend leases, by an owner whose own lease ended while it waited to
# acknowledge an end.
def test_an_owner_acknowledges_no_end_once_its_lease_has_ended():
    fleet = fleet_with_an_unacknowledged_end()
    polls = fleet.network.call_counts["/hold"]
    fleet.vms["vm0"].director.owner_lease.ended = True
    fleet.clock.advance(3.0)
    assert fleet.network.call_counts["/hold"] == polls


# Guards against ends that are never acknowledged while the store is slow and ends keep coming: each
# report is too old by the time that the effect of its ends is stored.
@pytest.mark.parametrize("gap_s", [0.15, 0.5])
def test_ends_of_a_busy_worker_are_acknowledged_while_the_store_is_slow(gap_s):
    fleet = PlatformFleet(vms=1, executors=1)
    wait_for_owner(fleet)
    steps = [step(gpu=0, cpu=50, mem_mb=100)]
    for number in range(1, 41):
        run(fleet, fleet.submit, "vm0", "patient", job_id(number), steps, "run_s=99", seconds=0.01)
    fleet.clock.advance(3.0)
    assert len(fleet.run_history.runs) == 40
    for number, entry in enumerate(fleet.run_history.runs):
        entry.run_s = fleet.clock.now() - entry.work_started_at + 0.5 + gap_s * number
    fleet.executors[0].slow_down(1.0)
    fleet.kv.faults.slow_s = 0.6
    fleet.clock.advance(5.0)
    ended = sum(bool(entry.outcome) for entry in fleet.run_history.runs)
    acknowledged = sum(bool(entry.acknowledged) for entry in fleet.run_history.runs)
    assert 8 <= ended < 40
    assert acknowledged > ended / 2
