"""Failure domains that the operator evacuates while jobs come and parts fail, on virtual time."""

import random

import pytest

from lacewingmill.events import EventLog
from lacewingmill.jobs.operator_follower import OperatorFollower
from lacewingmill.jobs.ports import Change, Changes, Record
from lacewingmill.platform import OPERATOR_KEYS
from standins.platform import configuration
from standins.platform.fleet import job_id, step, wait_for_owner
from tests.test_platform_path import run

# Time that users allow from the request to the last start.
EVACUATED_WITHIN_S = 5.0


def starts_in(fleet, zone, since):
    """Return the runs that began in a zone after a time."""
    names = {each.name for each in fleet.executors if each.entry["zone"] == zone}
    return [r for r in fleet.run_history.runs if r.executor in names and r.started_at > since]


def submit(fleet, number, steps, spec="run_s=1", seconds=3.0, queue="ordinary"):
    """Hand a job in to some VM and let time pass."""
    vm = sorted(fleet.vms)[0]
    return run(fleet, fleet.submit, vm, queue, job_id(number), steps, spec, seconds=seconds)


def state(fleet, number):
    return run(fleet, fleet.state, fleet.owner, "ordinary", job_id(number))


def test_nothing_starts_in_an_evacuated_domain_until_it_is_released(fleet, capsys):
    fleet.operator.evacuate("z0")
    fleet.clock.advance(2.0)
    evacuated_at = fleet.clock.now()
    submit(fleet, 1, [step(count=20)])
    fleet.clock.advance(10.0)
    assert state(fleet, 1) == "completed"
    assert starts_in(fleet, "z0", evacuated_at) == []
    assert fleet.vms[fleet.owner].director.evacuated_workers == 2
    fleet.operator.release("z0")
    fleet.clock.advance(2.0)
    submit(fleet, 2, [step(count=32)])
    assert starts_in(fleet, "z0", evacuated_at) != []
    assert fleet.vms[fleet.owner].director.evacuated_workers == 0
    lines = capsys.readouterr().out
    assert "domains_evacuated" in lines and "domains_released" in lines


def test_an_evacuation_that_leaves_too_little_for_the_quotas_is_logged(fleet, capsys):
    fleet.operator.configure(configuration(2, quota=24))
    fleet.clock.advance(2.0)
    fleet.operator.evacuate("z1")
    fleet.clock.advance(2.0)
    assert "quotas_exceed_workers" in capsys.readouterr().out


def test_gangs_run_on_in_an_evacuated_domain(fleet):
    submit(fleet, 1, [step(count=4, gpu=8, gang=True)], "run_s=8", seconds=1.0)
    fleet.operator.evacuate("z0")
    fleet.clock.advance(12.0)
    assert state(fleet, 1) == "completed"
    assert [each.outcome for each in fleet.run_history.runs] == ["done"] * 4


@pytest.mark.parametrize("requested_before_s", [0.0, 0.5, 2.0])
def test_a_new_owner_reads_the_evacuations_before_it_plans(fleet, requested_before_s):
    fleet.operator.evacuate("z0")
    evacuated_at = fleet.clock.now()
    fleet.clock.advance(requested_before_s)
    fleet.kill(fleet.owner)
    submit(fleet, 1, [step(count=20)], seconds=0.5)
    wait_for_owner(fleet)
    fleet.clock.advance(10.0)
    assert state(fleet, 1) == "completed"
    assert starts_in(fleet, "z0", evacuated_at) == []


def test_a_new_owner_whose_loop_lags_behind_reads_an_evacuation_for_its_takeover(fleet):
    for vm in fleet.vms.values():
        vm._vm_loops[0].kill(block=False)  # follows the operator's keys
    fleet.operator.evacuate("z0")
    fleet.kill(fleet.owner)
    evacuated_at = fleet.clock.now()
    submit(fleet, 1, [step(count=20)], seconds=0.5)
    wait_for_owner(fleet)
    fleet.clock.advance(10.0)
    assert state(fleet, 1) == "completed"
    assert starts_in(fleet, "z0", evacuated_at) == []


@pytest.mark.parametrize("fault", ["down", "silent", "resets"])
def test_an_evacuation_requested_in_an_outage_is_obeyed_after_it(fleet, fault):
    setattr(fleet.kv.faults, fault, True)
    fleet.operator.evacuate("z0")
    fleet.clock.advance(3.0)
    setattr(fleet.kv.faults, fault, False)
    wait_for_owner(fleet)
    fleet.clock.advance(EVACUATED_WITHIN_S)
    evacuated_at = fleet.clock.now()
    submit(fleet, 1, [step(count=20)])
    assert starts_in(fleet, "z0", evacuated_at) == []


def test_an_evacuation_survives_a_slow_store_and_a_killed_owner(fleet):
    fleet.kv.faults.slow_s = 0.4
    fleet.operator.evacuate("z0")
    evacuated_at = fleet.clock.now()
    fleet.clock.advance(1.0)
    fleet.kill(fleet.owner)
    submit(fleet, 1, [step(count=20)], seconds=1.0)
    wait_for_owner(fleet, seconds=12.0)
    fleet.kv.faults.slow_s = 0.0
    fleet.clock.advance(10.0)
    assert state(fleet, 1) == "completed"
    assert starts_in(fleet, "z0", evacuated_at) == []


def test_changes_of_evacuations_in_lost_history_are_noticed(fleet):
    fleet.operator.evacuate("z0")
    fleet.clock.advance(2.0)
    fleet.kv.faults.down = True
    fleet.clock.advance(0.5)
    fleet.operator.release("z0")
    fleet.operator.evacuate("z1")
    fleet.kv.discard_history()
    fleet.kv.faults.down = False
    wait_for_owner(fleet)
    fleet.clock.advance(3.0)
    changed_at = fleet.clock.now()
    submit(fleet, 1, [step(count=16)])
    fleet.clock.advance(3.0)
    assert state(fleet, 1) == "completed"
    assert starts_in(fleet, "z1", changed_at) == [] and starts_in(fleet, "z0", changed_at)


def test_other_requests_and_unreadable_configurations_change_no_evacuation(fleet, capsys):
    fleet.kv.write("op/wave/7", {"wave": 7, "machines": ["m1"]})
    fleet.operator.evacuate("z0")
    fleet.kv.write("op/config", b"{")
    fleet.clock.advance(2.0)
    assert {vm.director.evacuated_workers for vm in fleet.vms.values() if vm.director} == {2}
    assert "catalogue_unreadable" in capsys.readouterr().out


@pytest.mark.parametrize("gang", [False, True])
def test_starts_that_wait_for_a_slot_or_an_answer_are_withheld_in_an_evacuation(
    fleet, capsys, gang
):
    """Some orders wait behind others that the workers execute late and do not answer."""
    late_s = 2.5
    for executor in fleet.executors[:2]:
        fleet.network.late_orders[executor.name] = late_s
    submit(fleet, 1, [step(count=32, gang=gang)], "run_s=2", seconds=0.3)
    fleet.operator.evacuate("z0")
    fleet.clock.advance(0.1)
    evacuated_at = fleet.clock.now()
    fleet.clock.advance(10.0)
    fleet.network.late_orders.clear()
    assert starts_in(fleet, "z0", evacuated_at + late_s) == []
    # A gang is given up as a whole once a member has no answer; the starts of single tasks go on.
    assert ("reason=evacuated" in capsys.readouterr().out) is not gang
    fleet.operator.release("z0")
    fleet.clock.advance(30.0)
    assert state(fleet, 1) == "completed"
    fleet.check_invariants()


class OvertakenStore:
    """A store whose watch is answered only after the operator's keys were read again."""

    def __init__(self):
        self.records, self.revision = (), 5
        self.during_watch = None

    def scan(self, prefix):
        return self.records, self.revision

    def watch(self, prefix, *, after, wait_s):
        self.during_watch()
        return Changes((Change("op/evacuate/z0", None),), 6)


def test_a_late_answer_of_a_watch_does_not_undo_a_newer_read(fleet):
    store = OvertakenStore()
    follower = OperatorFollower(
        store, fleet.clock, EventLog("vm"), OPERATOR_KEYS, None, 2.0, lambda: None, random.Random(0)
    )
    follower.load()
    store.records, store.revision = (Record("op/evacuate/z0", b"{}", 7),), 7
    store.during_watch = follower.load
    follower._follow()
    assert follower.evacuated_domains == {"z0"}
