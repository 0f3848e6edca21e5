"""Jobs that an owner does not know yet, though a worker lists their runs or ends; virtual time."""

import gevent
import pytest

from lacewingmill.exceptions import LeaseEnded
from lacewingmill.jobs.keys import OWNER_KEY, job_key
from standins.platform import executors
from standins.platform.fleet import PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


class ReplacedOwner:
    """An owner that is replaced and does not notice, though it reaches the store and the workers.

    No other VM reaches it, nor the last rack until :meth:`reconnect` is called; the answers by
    which it would notice are lost.

    :param steps: steps of a job that is handed in just before; none without.
    """

    def __init__(self, racks: int = 2, steps: list[dict] | None = None, spec: str = ""):
        self.fleet = fleet = PlatformFleet(vms=3, executors=2 * racks - 1)
        self.vm = fleet.owner
        self.rack = [each for each in fleet.executors if each.entry["zone"] == f"z{racks - 1}"]
        self._leave_unanswered()
        self.others = fleet.vms.keys() - {self.vm}
        if steps:
            run(fleet, fleet.submit, self.vm, "ordinary", job_id(1), steps, spec, seconds=0.1)
        addresses = [each.entry["addr"] for each in self.rack]
        fleet.network.cut = {(other, f"{self.vm}:82") for other in self.others}
        fleet.network.cut |= {(other, addr) for other in self.others for addr in addresses}
        while not any(fleet.vms[other].director for other in self.others):
            fleet.clock.advance(0.01)
        fleet.clock.advance(0.15)

    def _leave_unanswered(self) -> None:
        store, clock = self.fleet.vms[self.vm]._elector._store, self.fleet.clock
        watch = store.watch

        def watch_all_but_owner(prefix, **kwargs):
            if prefix == OWNER_KEY:
                clock.sleep(1e6)
            return watch(prefix, **kwargs)

        store.watch = watch_all_but_owner
        clock.advance(7.0)
        renew = store.renew

        def renew_until_replaced(lease):
            try:
                renew(lease)
            except LeaseEnded:
                clock.sleep(1e6)

        store.renew = renew_until_replaced

    def start(self, spec: str, **fields) -> None:
        """Hand a job to the replaced owner, which starts it in the last rack."""
        steps = [step(data_rack=f"r{self.rack[0].entry['zone'][1:]}", **fields)]
        gevent.spawn(self.fleet.submit, self.vm, "ordinary", job_id(1), steps, spec)
        self.fleet.clock.advance(0.1)
        assert {each.executor for each in self.fleet.run_history.runs} <= {
            each.name for each in self.rack
        }
        assert len(self.fleet.run_history.runs) == fields.get("count", 1)

    def reconnect(self) -> None:
        """Let the other VMs reach the last rack."""
        addresses = {each.entry["addr"] for each in self.rack}
        self.fleet.network.cut = {
            pair for pair in self.fleet.network.cut if pair[1] not in addresses
        }

    def finish(self) -> list[str]:
        """Wait for the job, check the invariants and return how its runs ended."""
        fleet = self.fleet
        fleet.clock.advance(30.0)
        fleet.check_invariants()
        fleet.network.cut = set()
        owner = next(name for name in self.others if fleet.vms[name].director)
        assert run(fleet, fleet.state, owner, "ordinary", job_id(1)) == "completed"
        return [each.outcome for each in fleet.run_history.runs]


# Guards against starting a job that a replaced owner has started on a worker out of reach.
@pytest.mark.parametrize("run_s", [0.3, 3.0, 8.0])
@pytest.mark.parametrize("out_of_reach_s", [1.2, 3.0])
def test_a_job_that_a_replaced_owner_may_have_started_is_held_back(run_s, out_of_reach_s):
    replaced = ReplacedOwner()
    replaced.start(f"run_s={run_s}")
    replaced.fleet.clock.advance(out_of_reach_s)
    replaced.reconnect()
    assert replaced.finish() == ["done"]


# Guards against the same where the run outlives the leases, which no owner extends.
def test_a_job_that_a_replaced_owner_may_have_started_waits_for_the_end_of_the_leases():
    replaced = ReplacedOwner()
    replaced.start("run_s=20")
    replaced.fleet.clock.advance(12.0)
    replaced.reconnect()
    assert replaced.finish() == ["lapsed", "done"]


# Guards against holding back the jobs that were accepted once the replaced owner could not act.
def test_a_job_that_a_replaced_owner_cannot_have_started_is_not_held_back():
    replaced = ReplacedOwner()
    fleet = replaced.fleet
    fleet.clock.advance(5.0)
    owner = next(name for name in replaced.others if fleet.vms[name].director)
    run(fleet, fleet.submit, owner, "ordinary", job_id(1), [step()], "run_s=1", seconds=0.5)
    assert len(fleet.run_history.runs) == 1


# Guards against a replaced owner that starts what it reads from the store, beside the next owner to
# which the job was announced.
def test_a_replaced_owner_starts_nothing_that_it_reads_from_the_store():
    replaced = ReplacedOwner()
    fleet = replaced.fleet
    owner = next(name for name in replaced.others if fleet.vms[name].director)
    while not fleet.vms[owner].director.recovered:
        fleet.clock.advance(0.01)
    steps = [step(data_rack="r1")]
    run(fleet, fleet.submit, owner, "ordinary", job_id(1), steps, "run_s=8", seconds=2.0)
    replaced.reconnect()
    assert replaced.finish() == ["done"]


# Guards against starting a step that a replaced owner has started: the end of the step before,
# which the next owner has seen running, answered a poll of the replaced one that was waiting.
def test_a_step_that_a_replaced_owner_starts_after_the_takeover_is_held_back():
    steps = [step(data_rack="r0"), step(after=[0], data_rack="r1")]
    replaced = ReplacedOwner(steps=steps, spec="run_s=1.6")
    replaced.fleet.clock.advance(2.0)
    replaced.reconnect()
    assert replaced.finish() == ["done", "done"]


# Guards against acknowledging the end of a job that is not known yet, and starting the job later.
@pytest.mark.parametrize("polled_late", [False, True])
@pytest.mark.parametrize("run_s", [0.3, 0.8])
def test_an_end_of_a_job_that_is_not_known_yet_counts_once_it_is(run_s, polled_late):
    replaced = ReplacedOwner()
    replaced.fleet.kv.faults.deaf = polled_late
    replaced.start(f"run_s={run_s}")
    replaced.reconnect()
    replaced.fleet.clock.advance(4.0)
    replaced.fleet.kv.faults.deaf = False
    assert replaced.finish() == ["done"]


# Guards against forgetting a run that a worker lists during a takeover, of a job not known yet.
@pytest.mark.parametrize("run_s", [3.0, 8.0])
def test_a_run_listed_in_a_takeover_before_its_job_is_known_continues(run_s):
    replaced = ReplacedOwner()
    replaced.start(f"run_s={run_s}")
    replaced.reconnect()
    assert replaced.finish() == ["done"]


# Guards against stopping a run of a job that is not known yet, and starting the job elsewhere
# before the run has ended.
def test_a_run_listed_before_its_job_is_known_continues(monkeypatch):
    monkeypatch.setattr(executors, "STOP_DURATION_S", 0.9)
    replaced = ReplacedOwner()
    replaced.fleet.kv.faults.deaf = True
    replaced.start("run_s=8")
    replaced.fleet.clock.advance(0.4)
    replaced.reconnect()
    replaced.fleet.clock.advance(4.0)
    replaced.fleet.kv.faults.deaf = False
    assert replaced.finish() == ["done"]


# Guards against closing a gang because its members are adopted one by one.
def test_a_gang_listed_before_its_job_is_known_continues():
    replaced = ReplacedOwner(racks=3)
    replaced.fleet.kv.faults.deaf = True
    replaced.start("run_s=8", count=2, gpu=4, gang=True)
    replaced.fleet.clock.advance(0.4)
    replaced.reconnect()
    replaced.fleet.clock.advance(4.0)
    replaced.fleet.kv.faults.deaf = False
    assert replaced.finish() == ["done", "done"]


# Guards against runs and ends of deleted jobs that are never stopped or acknowledged, and against
# a read of the store for each of them.
def test_runs_and_ends_of_a_deleted_job_are_stopped_and_acknowledged_soon():
    fleet = PlatformFleet(vms=3)
    steps = [step(count=24), step(count=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=30", seconds=1.0)
    history = fleet.run_history.runs
    assert len(history) == 32
    fleet.kill(fleet.owner)
    fleet.kv.write(job_key(job_id(1)), None)
    for entry in history[:24]:
        entry.run_s = 1.2
    wait_for_owner(fleet)
    reads = sum(fleet.kv.calls.get(name, 0) for name in ("kv-key", "kv-range"))
    fleet.clock.advance(3.5)
    assert sorted(entry.outcome for entry in history) == ["done"] * 24 + ["stopped"] * 8
    assert all(entry.acknowledged for entry in history)
    assert sum(fleet.kv.calls.get(name, 0) for name in ("kv-key", "kv-range")) < reads + 8


# Guards against taking a job for deleted while the store does not say so.
def test_a_run_is_not_stopped_while_the_store_does_not_answer():
    fleet = PlatformFleet(vms=3)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step()], "run_s=30", seconds=1.0)
    fleet.kill(fleet.owner)
    fleet.kv.write(job_key(job_id(1)), None)
    wait_for_owner(fleet)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.5)
    [entry] = fleet.run_history.runs
    assert entry.outcome == ""
    fleet.kv.faults.down = False
    fleet.clock.advance(2.5)
    assert entry.outcome == "stopped"
