"""Jobs across the death of VMs, outages of the store and lost orders, on virtual time."""

import json

import attrs
import gevent
import pytest

from standins.platform import configuration
from tests.platform_fleet import STORE, PlatformFleet, job_id, step
from tests.test_platform_path import run

# Two VMs: a watch of the configuration and of the owner each, the owner's polls and renewals.
CALLS_AT_REST_PER_S = 8
# Two VMs that each probe the store twice a second, and once for the other one.
CALLS_IN_OUTAGE_PER_S = 8


@pytest.fixture
def fleet():
    return PlatformFleet()


def wait_for_owner(fleet, seconds=6.0):
    for _ in range(int(seconds / 0.1)):
        if fleet.owner is not None:
            return
        fleet.clock.advance(0.1)
    raise AssertionError("no VM directs the jobs")


def test_runs_go_on_when_the_owner_dies(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=6)], "run_s=12")
    first = fleet.owner
    fleet.kill(first)
    wait_for_owner(fleet)
    assert fleet.owner != first
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert [r.how for r in fleet.book.runs] == ["done"] * 6
    fleet.check_promises()


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
    fleet.check_promises()


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
    fleet.check_promises()


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
    fleet.check_promises()


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
    fleet.check_promises()


def test_a_stop_is_seen_soon_though_a_look_gets_no_answer(fleet):
    """An urgent gang waits for evicted work; a lost look must not cost it a whole long wait."""
    fleet.operator.configure(configuration(2, quota=16))
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step(count=32)], "run_s=60")
    gang = [step(count=2, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "urgent", job_id(2), gang, "run_s=1", seconds=0.15)
    for executor in fleet.executors:
        fleet.network.lost_holds[executor.name] = 1
    fleet.clock.advance(2.85)
    assert run(fleet, fleet.state, "vm0", "urgent", job_id(2), seconds=0.1) == "completed"


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
    fleet.check_promises()


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
    fleet.check_promises()


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
    fleet.check_promises()


def test_two_urgent_claims_never_wait_for_each_other(fleet):
    """A claim beyond its quota pledges room; a claim within it must not count on that room."""
    fleet.operator.configure(configuration(2, quota=16))
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step(count=32)], "run_s=60")
    gang = [step(count=2, gpu=8, gang=True, est_runtime_ms=20000)]
    for number in range(2, 6):
        run(fleet, fleet.submit, "vm0", "urgent", job_id(number), gang, "run_s=2", seconds=0.01)
    fleet.clock.advance(20.0)
    for number in range(2, 6):
        assert run(fleet, fleet.state, "vm0", "urgent", job_id(number)) == "completed"


def test_a_lost_answer_of_the_store_loses_no_job(fleet):
    fleet.kv.faults.lose_writes = 1
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 200
    fleet.clock.advance(5.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"


def test_a_late_write_of_progress_never_replaces_a_newer_one(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=3)], "run_s=8")
    fleet.book.runs[0].run_s = 4.0
    fleet.book.runs[1].run_s = 5.0
    fleet.kv.faults.late_writes = 1
    fleet.clock.advance(4.0)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_promises()


def test_a_refusal_is_true_while_the_store_is_down(fleet):
    fleet.kv.faults.down = True
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 503
    fleet.kv.faults.down = False
    fleet.clock.advance(5.0)
    assert fleet.book.runs == []


def test_jobs_are_accepted_while_the_store_answers_no_watch(fleet):
    """Watches that are not answered say nothing about the store's other calls."""
    fleet.kv.faults.deaf = True
    fleet.clock.advance(2.5)
    for number in range(1, 20):
        vm = "vm0" if number % 2 else "vm1"
        status = run(fleet, fleet.submit, vm, "ordinary", job_id(number), [step()], seconds=0.2)
        assert status == 200, f"job {number}"
    fleet.kv.faults.deaf = False
    fleet.kv.forget_history()
    fleet.clock.advance(12.0)
    for number in range(1, 20):
        assert run(fleet, fleet.state, "vm0", "ordinary", job_id(number)) == "completed"
    fleet.check_promises()


def test_a_refusal_that_comes_late_is_no_doubt(fleet):
    fleet.kv.faults.down = True
    fleet.kv.faults.slow_s = 0.4
    fleet.deadline_ms = 300
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 503


def test_a_refusal_stays_certain_while_other_vms_do_not_answer(fleet):
    """A write is relayed only by a VM that has just answered, so it is in doubt less often."""
    fleet.kv.faults.down = True
    fleet.network.cut |= {("vm1", "vm0:82"), ("vm0", "vm1:82")}
    assert run(fleet, fleet.submit, "vm1", "ordinary", job_id(1), [step()]) == 503
    assert run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), [step()]) == 503
    fleet.kv.faults.down = False
    fleet.clock.advance(5.0)
    assert fleet.book.runs == []


def test_a_vm_that_the_store_turns_away_hands_jobs_in_through_the_owner(fleet):
    other = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.kv.faults.turned_away.add(other)
    assert run(fleet, fleet.submit, other, "ordinary", job_id(1), [step()]) == 200
    fleet.clock.advance(2.0)
    assert run(fleet, fleet.state, other, "ordinary", job_id(1)) == "completed"


def test_a_start_that_is_carried_out_late_runs_nowhere_twice(fleet):
    slow = fleet.executors[0]
    fleet.network.late_orders[slow.name] = 3.0
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=3")
    fleet.clock.advance(3.0)
    fleet.network.late_orders.clear()
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    fleet.check_promises()


def test_a_worker_that_restarts_under_its_id_loses_what_it_ran(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=8")
    fleet.executors[1].crash()
    fleet.operator.register(fleet.executors[1])
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert len(fleet.book.runs) == 5
    fleet.check_promises()


def test_runs_begun_after_an_unseen_restart_go_on(fleet):
    """An idle worker is not looked at, so its restart is heard of after new work has begun."""
    for executor in fleet.executors:
        executor.crash()
        fleet.operator.register(executor)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=6")
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert [r.how for r in fleet.book.runs] == ["done"] * 4
    fleet.check_promises()


def test_a_run_that_nobody_wants_is_stopped_once(fleet):
    """A worker without other work is looked at again and again until the run is gone."""
    stray = fleet.executors[0]
    fleet.book.jobs[job_id(9)] = fleet._facts([step(count=4)])
    order = {"task": f"{job_id(9)}.0.0.3", "run": 1, "spec": "run_s=9", "deadline_ms": 10**9}
    stray.handle("/run-start", {}, json.dumps(order | {"fence": stray.fence}).encode())
    steps = [step(count=4, gpu=7)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=0.01", seconds=4.0)
    assert fleet.book.runs[0].how == "stopped"
    assert fleet.network.orders["/run-stop"] == 1


def test_a_silent_worker_is_left_alone_until_its_leases_have_lapsed(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=15")
    silent = fleet.executors[2]
    fleet.network.cut.add((fleet.owner, silent.entry["addr"]))
    fleet.clock.advance(40.0)
    fleet.network.cut.clear()
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert [r.how for r in fleet.book.runs if r.executor == silent.name][0] == "lapsed"
    fleet.check_promises()


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


def test_a_store_that_forgets_its_history_is_not_asked_without_end(fleet):
    """After it has forgotten, a key's own revision is too old to watch from."""
    fleet.kv.forget_history()
    fleet.clock.advance(1.0)
    calls = sum(fleet.kv.calls.values())
    fleet.clock.advance(10.0)
    assert sum(fleet.kv.calls.values()) - calls <= 10 * CALLS_AT_REST_PER_S
    fleet.operator.configure(configuration(2, keys=("key-b",)))
    fleet.clock.advance(2.0)
    answer = run(fleet, fleet.call, "vm0", "GET", f"/ordinary/{job_id(1)}", None, "key-b")
    assert answer[0] == 410


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
    fleet.check_promises()


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
    fleet.check_promises()


def test_an_owner_that_the_store_turns_away_goes_on_through_another_vm(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=2)], "run_s=6")
    owner = fleet.owner
    fleet.kv.faults.turned_away.add(owner)
    assert run(fleet, fleet.submit, owner, "ordinary", job_id(2), [step()]) == 200
    fleet.clock.advance(8.0)
    assert fleet.owner == owner
    for number in (1, 2):
        assert run(fleet, fleet.state, owner, "ordinary", job_id(number)) == "completed"
    fleet.operator.configure(configuration(2, keys=("key-b",)))
    fleet.clock.advance(2.0)
    path = f"/ordinary/{job_id(1)}"
    assert run(fleet, fleet.call, owner, "GET", path, None, "key-b")[0] == 200


def test_a_store_that_is_down_for_all_is_probed_and_not_flooded(fleet):
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    calls = sum(fleet.kv.calls.values())
    fleet.clock.advance(10.0)
    assert sum(fleet.kv.calls.values()) - calls <= 10 * CALLS_IN_OUTAGE_PER_S


@pytest.mark.parametrize(("deadline_s", "total_s"), [(3, 4), (12, 8)])
def test_callers_come_back_within_their_deadline_and_less_often_the_longer_it_lasts(
    fleet, deadline_s, total_s
):
    """A caller comes back a few times only, so an outage of seconds must not use them all up."""
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


def test_a_start_without_an_answer_is_sent_again_under_its_number(fleet):
    """One lost order must not cost a whole gang: the worker starts the same run once."""
    gang = [step(count=4, gpu=8, gang=True)]
    for executor in fleet.executors:
        fleet.network.lost_answers[executor.name] = 2
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=2")
    fleet.clock.advance(4.0)
    assert run(fleet, fleet.state, "vm0", "ordinary", job_id(1)) == "completed"
    assert [(r.number, r.how) for r in fleet.book.runs] == [(1, "done")] * 4


def test_a_worker_is_looked_at_though_no_start_on_it_was_answered(fleet):
    """Its gang may end through the other members, and its own end must be heard of."""
    gang = [step(count=4, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=0.1")
    fleet.clock.advance(5.0)
    fleet.network.lost_answers[fleet.executors[2].name] = 4
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(2), gang, "run_s=0.2")
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(3), gang, "run_s=0.2")
    fleet.clock.advance(5.0)
    for number in (2, 3):
        assert run(fleet, fleet.state, "vm0", "ordinary", job_id(number)) == "completed"


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
    fleet.check_promises()


def test_changed_settings_are_taken_in_and_bad_ones_are_not(fleet):
    vm = fleet.vms["vm0"]
    before = vm._settings
    vm.reload(attrs.evolve(before, metrics="vm0:99"))
    assert vm._settings.metrics == "vm0:99"
    vm.reload_failed("field ip is missing")
    assert vm._settings.metrics == "vm0:99"


def test_a_silent_store_leaves_one_caller_in_doubt_and_refuses_the_others(fleet):
    """After one write without an answer, a read comes first, so that refusals are certain."""
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
    assert fleet.book.runs == []


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
    fleet.check_promises()


def test_an_end_is_forgotten_by_its_worker_only_once_it_is_stored(fleet):
    """A second task keeps the worker busy, so that the next acknowledgement is sent at once."""
    both = [step(count=2)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), both, "run_s=9", seconds=3.0)
    fleet.book.runs[0].run_s = 4.0
    fleet.kv.faults.silent = True
    fleet.clock.advance(2.0)
    assert [(r.how, r.noted) for r in fleet.book.runs] == [("done", False), ("", False)]
    for vm in list(fleet.vms):
        fleet.kill(vm)
    fleet.kv.faults.silent = False
    fleet.start_vm("vm7")
    wait_for_owner(fleet)
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, "vm7", "ordinary", job_id(1)) == "completed"
    assert len(fleet.book.runs) == 2
