"""Jobs across the death, the stop and the replacement of VMs, on virtual time."""

import attrs
import gevent

from lacewingmill.jobs.director import FIRST_CONTACT_TIMEOUT_S
from tests.platform_fleet import STORE, PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


def test_runs_go_on_when_the_owner_dies(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=6)], "run_s=12")
    first = fleet.owner
    fleet.kill(first)
    wait_for_owner(fleet)
    assert fleet.owner != first
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert [r.how for r in fleet.book.runs] == ["done"] * 6
    fleet.check_invariants()


def test_ends_listed_to_a_new_owner_do_not_open_their_step_twice(fleet):
    """An end in a worker's first answer must not queue tasks that run on other workers."""
    steps = [step(count=4, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=20")
    short = fleet.book.runs[0]
    fleet.kill(fleet.owner)
    short.run_s = fleet.clock.now() - short.started_at + 0.1
    wait_for_owner(fleet)
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert [r.how for r in fleet.book.runs] == ["done"] * 4
    fleet.check_invariants()


def test_workers_unlisted_in_an_outage_are_asked_by_a_new_owner(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=4")
    fleet.kv.faults.down = True
    for vm in list(fleet.vms):
        fleet.kill(vm)
    for executor in fleet.executors:
        fleet.operator.unregister(executor)
    fleet.clock.advance(3.0)
    fleet.kv.faults.down = False
    fleet.start_vm("vm5")
    wait_for_owner(fleet)
    fleet.clock.advance(1.0)
    for executor in fleet.executors:
        fleet.operator.register(executor)
    fleet.clock.advance(8.0)
    assert run(fleet, fleet.state, "vm5", "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def leave(fleet, executor):
    """An executor drains, exits and is unlisted."""
    fleet.operator.register(executor, state="draining")
    fleet.clock.advance(3.0)
    fleet.operator.unregister(executor)
    del fleet.network.executors[executor.entry["addr"]]
    fleet.clock.advance(2.0)


def test_a_new_owner_does_not_wait_for_workers_that_left_before(fleet):
    """A worker that is gone for good must not hold back what waits across a takeover."""
    leave(fleet, fleet.executors[3])
    steps = [step(count=2), step(count=2, after=[0])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=1", seconds=0.5)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(2.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def lose_owner_beside_a_leaving_worker(fleet):
    """Return a worker that drains with a run on it when the owner dies; one worker is idle."""
    steps = [step(count=3, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=9", seconds=1.0)
    name = fleet.book.runs[0].executor
    worker = next(each for each in fleet.executors if each.name == name)
    fleet.operator.register(worker, state="draining")
    fleet.clock.advance(2.0)
    fleet.kill(fleet.owner)
    return worker


def begun_again(fleet):
    """Return when the job's first task began again, in seconds after the takeover."""
    wait_for_owner(fleet)
    taken_at = fleet.clock.now()
    fleet.clock.advance(30.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()
    [again] = [each for each in fleet.book.runs if each.number > 1]
    return again.started_at - taken_at


# Guards against jobs that stand still for nine seconds after a takeover beside leaving workers.
def test_a_new_owner_does_not_wait_for_a_worker_that_left_meanwhile(fleet):
    worker = lose_owner_beside_a_leaving_worker(fleet)
    worker.exit()
    fleet.operator.unregister(worker)
    assert begun_again(fleet) < 2.0


def takeover_s(worker_exits):
    """Return how long no VM directs the jobs after an owner has died beside a leaving worker."""
    fleet = PlatformFleet()
    worker = lose_owner_beside_a_leaving_worker(fleet)
    if worker_exits:
        worker.exit()
        fleet.operator.unregister(worker)
    killed_at = fleet.clock.now()
    while fleet.owner is None:
        fleet.clock.advance(0.02)
    return fleet.clock.now() - killed_at


# Guards against urgent jobs that wait for first answers of workers that can give none.
def test_a_takeover_takes_no_longer_beside_a_worker_that_has_left():
    assert (
        takeover_s(worker_exits=True) < takeover_s(worker_exits=False) + FIRST_CONTACT_TIMEOUT_S / 2
    )


def test_a_new_owner_waits_for_an_unlisted_worker_that_a_machine_still_runs(fleet):
    worker = lose_owner_beside_a_leaving_worker(fleet)
    fleet.network.cut = {(vm, worker.entry["addr"]) for vm in fleet.http_clients}
    fleet.operator.unregister(worker)
    assert begun_again(fleet) > 5.0


def test_a_new_owner_waits_for_a_worker_that_left_while_machines_are_not_known(fleet, capsys):
    fleet.network.machines_away = True
    worker = lose_owner_beside_a_leaving_worker(fleet)
    worker.exit()
    fleet.operator.unregister(worker)
    assert begun_again(fleet) > 5.0
    assert "machines_unknown" in capsys.readouterr().out


def test_a_new_owner_that_cannot_read_the_jobs_says_so(fleet, capsys):
    fleet.kill(fleet.owner)
    while not any(vm.director for vm in fleet.vms.values()):
        fleet.clock.advance(0.0005)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    fleet.kv.faults.down = False
    wait_for_owner(fleet)
    assert "jobs_unread" in capsys.readouterr().out


def test_a_first_look_without_an_answer_holds_nothing_back(fleet):
    """A new owner asks a worker again before it counts it as one that may run things unseen."""
    steps = [step(count=2), step(count=2, after=[0])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=1", seconds=0.5)
    fleet.kill(fleet.owner)
    fleet.network.lost_holds[fleet.executors[3].name] = 1
    wait_for_owner(fleet)
    fleet.clock.advance(0.2)
    assert len(fleet.book.runs) == 4
    fleet.clock.advance(4.0)
    assert fleet.network.lost_holds[fleet.executors[3].name] == 0
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against takeovers that take over a second: the new owner reads all jobs over its link.
def test_a_vm_with_a_fast_link_directs_where_one_is_left():
    fleet = PlatformFleet(vms=6, slow_links=("vm0", "vm1", "vm2", "vm3"))
    owners = []
    for _ in range(3):
        wait_for_owner(fleet)
        owners.append(fleet.owner)
        fleet.kill(fleet.owner)
    assert sorted(owners[:2]) == ["vm4", "vm5"]
    assert owners[2] in fleet.slow_links


def test_an_owner_that_dies_silently_is_replaced_before_its_lease_lapses():
    """Urgent work has a second or two, so a lease of 2.5 s is too long to wait for."""
    fleet = PlatformFleet(vms=3)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet, seconds=1.5)
    assert run(fleet, fleet.submit, fleet.owner, "urgent", job_id(1), [step()], "run_s=1") == 200
    assert run(fleet, fleet.state, fleet.owner, "urgent", job_id(1)) == "completed"


def test_vms_that_are_gone_are_asked_no_more():
    fleet = PlatformFleet(vms=3)
    gone = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.kill(gone)
    fleet.clock.advance(35.0)
    for vm in fleet.vms.values():
        assert f"{gone}:82" not in vm._directory.others()
        assert len(vm._directory.others()) == 1


def test_a_stopped_vm_hands_over_and_leaves_the_list_at_once(fleet):
    """In the time that it still serves callers, another VM directs the jobs."""
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=3)], "run_s=5", seconds=1.0)
    stopped = fleet.owner
    gevent.spawn(fleet.vms[stopped]._stop)
    fleet.clock.advance(1.0)
    assert f"lacewingmill/vm/{stopped}" not in fleet.kv.keys("lacewingmill/vm/")
    assert fleet.vms[stopped].director is None
    assert fleet.owner is not None
    assert run(fleet, fleet.submit, stopped, "ordinary", job_id(2), [step()]) == 200
    fleet.clock.advance(8.0)
    for number in (1, 2):
        assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(number)) == "completed"
    fleet.check_invariants()


def test_vms_are_listed_again_after_their_leases_lapsed(fleet):
    fleet.kv.faults.down = True
    fleet.clock.advance(40.0)
    fleet.kv.faults.down = False
    fleet.clock.advance(12.0)
    for vm in fleet.vms.values():
        assert len(vm._directory.others()) == 1


def test_an_owner_that_one_vm_does_not_reach_stays():
    fleet = PlatformFleet(vms=4)
    owner = fleet.owner
    for watcher in sorted(fleet.vms.keys() - {owner}):
        fleet.network.cut = {(watcher, f"{owner}:82")}
        fleet.clock.advance(4.0)
        fleet.network.cut = set()
        fleet.clock.advance(1.0)  # else two VMs do not reach it at the moment of the change
        assert fleet.owner == owner


def test_runs_of_a_replaced_owner_that_lives_on_run_nowhere_twice():
    """Cut off from the other VMs alone, it may extend leases until it hears from the store."""
    fleet = PlatformFleet(vms=3)
    owner = fleet.owner
    run(fleet, fleet.submit, owner, "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=9")
    others = fleet.vms.keys() - {owner}
    far = fleet.executors[3]
    fleet.network.cut = {(other, f"{owner}:82") for other in others}
    fleet.network.cut |= {(other, far.entry["addr"]) for other in others}
    fleet.network.cut.add((owner, STORE))
    fleet.clock.advance(2.0)
    assert fleet.owner in others
    fleet.clock.advance(30.0)
    fleet.network.cut = set()
    fleet.clock.advance(15.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def test_a_worker_that_returns_after_it_left_is_asked_by_a_new_owner(fleet):
    worker = fleet.executors[3]
    leave(fleet, worker)
    fleet.network.executors[worker.entry["addr"]] = worker
    fleet.operator.register(worker)
    fleet.clock.advance(3.0)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=9")
    assert worker.name in {r.executor for r in fleet.book.runs}
    fleet.operator.unregister(worker)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert [r.how for r in fleet.book.runs] == ["done"] * 4
    fleet.check_invariants()


def test_a_failure_listed_again_to_a_new_owner_counts_once(fleet):
    """The owner dies after it has stored a failure and before the worker has forgotten it."""
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step()], "run_s=4 fail=1", seconds=2.0)
    failing = fleet.book.runs[0]
    executor = next(e for e in fleet.executors if e.name == failing.executor)
    while failing.how != "failed" or not fleet.kv.keys("lacewingmill/run/"):
        fleet.clock.advance(0.01)
    assert not failing.noted
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    assert executor.fence > 0
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, fleet.owner, "patient", job_id(1)) == "completed"


def test_a_gang_goes_on_though_a_new_owner_cannot_reach_one_member(fleet):
    gang = [step(count=2, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=10")
    hidden = next(e for e in fleet.executors if e.name == fleet.book.runs[1].executor)
    other = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.network.cut.add((other, hidden.entry["addr"]))
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.network.cut.clear()  # before the lease of the member that was out of reach lapses
    fleet.clock.advance(25.0)
    assert run(fleet, fleet.state, other, "ordinary", job_id(1)) == "completed"
    assert [r.how for r in fleet.book.runs] == ["done", "done"]
    fleet.check_invariants()


def test_a_gang_with_an_unreachable_member_starts_again_only_after_its_leases(fleet):
    gang = [step(count=2, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=10")
    hidden = next(e for e in fleet.executors if e.name == fleet.book.runs[1].executor)
    seen = next(e for e in fleet.executors if e.name == fleet.book.runs[0].executor)
    other = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.network.cut.add((other, hidden.entry["addr"]))
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    seen.crash()
    fleet.operator.register(seen)
    fleet.clock.advance(40.0)
    assert run(fleet, fleet.state, other, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def test_steps_begun_before_their_needs_were_stored_go_on():
    """Ends that were seen and not stored are listed again, maybe later than what they opened."""
    fleet = PlatformFleet(vms=2)
    steps = [step(count=1, gpu=8), step(count=3, gpu=8, after=[0])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=3", seconds=2.5)
    first = next(r.executor for r in fleet.book.runs)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    assert len(fleet.book.runs) == 4
    far = next(e for e in fleet.executors if e.name == first)
    fleet.network.cut = {(f"vm{number}", far.entry["addr"]) for number in range(9)}
    fleet.kill(fleet.owner)
    fleet.kv.faults.down = False
    wait_for_owner(fleet)
    fleet.network.cut = set()
    fleet.clock.advance(25.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert {r.how for r in fleet.book.runs if r.executor != first} == {"done"}
    fleet.check_invariants()


def test_changed_settings_are_taken_in_and_bad_ones_are_not(fleet):
    vm = fleet.vms["vm0"]
    before = vm._settings
    vm.reload(attrs.evolve(before, metrics="vm0:99"))
    assert vm._settings.metrics == "vm0:99"
    vm.reload_failed("field ip is missing")
    assert vm._settings.metrics == "vm0:99"


def test_an_advised_unit_that_a_new_owner_adopted_goes_on_where_it_may(fleet):
    """The new owner knows no tickets yet when the unit loses its worker."""
    fleet.book.advised[job_id(1)] = {"i-1", "i-2"}
    run(fleet, fleet.submit, "vm0", "advised", job_id(1), [step(gpu=8)], "run_s=20")
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    holder = next(e for e in fleet.executors if e.name == fleet.book.runs[0].executor)
    holder.crash()
    fleet.operator.register(holder)
    fleet.clock.advance(30.0)
    assert run(fleet, fleet.state, fleet.owner, "advised", job_id(1)) == "completed"
    assert {r.executor for r in fleet.book.runs} <= {"i-1", "i-2"}
    fleet.check_invariants()
