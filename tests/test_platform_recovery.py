"""Jobs when VMs crash, stop and are replaced as owner, on virtual time."""

import attrs
import gevent

from lacewingmill.jobs.director import FIRST_CONTACT_TIMEOUT_S
from standins.platform.fleet import STORE, PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run


def test_runs_continue_when_the_owner_crashes(fleet):
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=6)], "run_s=12")
    first = fleet.owner
    fleet.kill(first)
    wait_for_owner(fleet)
    assert fleet.owner != first
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert [r.outcome for r in fleet.run_history.runs] == ["done"] * 6
    fleet.check_invariants()


def test_run_ends_listed_to_a_new_owner_do_not_queue_their_step_twice(fleet):
    """A run end in a worker's first answer must not queue tasks that run on other workers."""
    steps = [step(count=4, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=20")
    shortened = fleet.run_history.runs[0]
    fleet.kill(fleet.owner)
    shortened.run_s = fleet.clock.now() - shortened.started_at + 0.1
    wait_for_owner(fleet)
    fleet.clock.advance(20.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert [r.outcome for r in fleet.run_history.runs] == ["done"] * 4
    fleet.check_invariants()


def test_a_new_owner_contacts_workers_that_were_unlisted_in_an_outage(fleet):
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


def drain_and_remove(fleet, executor):
    """Drain an executor, and remove it from the network and from the store."""
    fleet.operator.register(executor, state="draining")
    fleet.clock.advance(3.0)
    fleet.operator.unregister(executor)
    del fleet.network.executors[executor.entry["addr"]]
    fleet.clock.advance(2.0)


def test_a_new_owner_does_not_wait_for_workers_that_left_before(fleet):
    """A worker that has left must not hold back units that wait during a takeover."""
    drain_and_remove(fleet, fleet.executors[3])
    steps = [step(count=2), step(count=2, after=[0])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=1", seconds=0.5)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(2.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def kill_owner_while_a_worker_is_leaving(fleet):
    """Kill the owner while one worker is idle and another one drains with a run on it.

    :return: the draining worker.
    """
    steps = [step(count=3, gpu=8)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=9", seconds=1.0)
    name = fleet.run_history.runs[0].executor
    worker = next(each for each in fleet.executors if each.name == name)
    fleet.operator.register(worker, state="draining")
    fleet.clock.advance(2.0)
    fleet.kill(fleet.owner)
    return worker


def restart_delay_s(fleet):
    """Return the time from the takeover to the restart of the job's task, in seconds."""
    wait_for_owner(fleet)
    taken_over_at = fleet.clock.now()
    fleet.clock.advance(30.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()
    [restarted] = [each for each in fleet.run_history.runs if each.number > 1]
    return restarted.started_at - taken_over_at


# Guards against jobs that wait nine seconds after a takeover because a worker has left.
def test_a_new_owner_does_not_wait_for_a_worker_that_left_during_the_takeover(fleet):
    worker = kill_owner_while_a_worker_is_leaving(fleet)
    worker.exit()
    fleet.operator.unregister(worker)
    assert restart_delay_s(fleet) < 2.0


def takeover_duration_s(worker_exits):
    """Return the time until a new owner directs the jobs, in seconds.

    The owner is killed while a worker is leaving.

    :param worker_exits: whether that worker has exited before the takeover.
    """
    fleet = PlatformFleet()
    worker = kill_owner_while_a_worker_is_leaving(fleet)
    if worker_exits:
        worker.exit()
        fleet.operator.unregister(worker)
    killed_at = fleet.clock.now()
    while fleet.owner is None:
        fleet.clock.advance(0.02)
    return fleet.clock.now() - killed_at


# Guards against urgent jobs that wait for the first answer of a worker that has exited.
def test_a_worker_that_has_left_does_not_delay_a_takeover():
    assert (
        takeover_duration_s(worker_exits=True)
        < takeover_duration_s(worker_exits=False) + FIRST_CONTACT_TIMEOUT_S / 2
    )


def test_a_new_owner_waits_for_an_unlisted_worker_that_a_machine_still_runs(fleet):
    worker = kill_owner_while_a_worker_is_leaving(fleet)
    fleet.network.cut = {(vm, worker.entry["addr"]) for vm in fleet.http_clients}
    fleet.operator.unregister(worker)
    assert restart_delay_s(fleet) > 5.0


def test_a_new_owner_waits_for_a_worker_that_left_while_the_machine_list_is_unavailable(
    fleet, capsys
):
    fleet.network.machines_down = True
    worker = kill_owner_while_a_worker_is_leaving(fleet)
    worker.exit()
    fleet.operator.unregister(worker)
    assert restart_delay_s(fleet) > 5.0
    assert "machines_unknown" in capsys.readouterr().out


def test_a_new_owner_that_cannot_read_the_jobs_logs_it(fleet, capsys):
    fleet.kill(fleet.owner)
    while not any(vm.director for vm in fleet.vms.values()):
        fleet.clock.advance(0.0005)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    fleet.kv.faults.down = False
    wait_for_owner(fleet)
    assert "jobs_unread" in capsys.readouterr().out


def test_an_unanswered_first_contact_holds_back_no_units(fleet):
    """A new owner retries a worker before it assumes that the worker may run earlier tasks."""
    steps = [step(count=2), step(count=2, after=[0])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=1", seconds=0.5)
    fleet.kill(fleet.owner)
    fleet.network.lost_holds[fleet.executors[3].name] = 1
    wait_for_owner(fleet)
    fleet.clock.advance(0.2)
    assert len(fleet.run_history.runs) == 4
    fleet.clock.advance(4.0)
    assert fleet.network.lost_holds[fleet.executors[3].name] == 0
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against takeovers that take over a second: a new owner reads all jobs, which is slow over a
# slow link.
def test_vms_with_fast_links_are_elected_first():
    fleet = PlatformFleet(vms=6, slow_links=("vm0", "vm1", "vm2", "vm3"))
    owners = []
    for _ in range(3):
        wait_for_owner(fleet)
        owners.append(fleet.owner)
        fleet.kill(fleet.owner)
    assert sorted(owners[:2]) == ["vm4", "vm5"]
    assert owners[2] in fleet.slow_links


def test_a_crashed_owner_is_replaced_before_its_lease_expires():
    """Urgent jobs are due within a second or two, so they can't wait for a lease of 2.5 s."""
    fleet = PlatformFleet(vms=3)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet, seconds=1.5)
    assert run(fleet, fleet.submit, fleet.owner, "urgent", job_id(1), [step()], "run_s=1") == 200
    assert run(fleet, fleet.state, fleet.owner, "urgent", job_id(1)) == "completed"


def test_crashed_vms_leave_the_directory():
    fleet = PlatformFleet(vms=3)
    crashed = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.kill(crashed)
    fleet.clock.advance(35.0)
    for vm in fleet.vms.values():
        assert f"{crashed}:82" not in vm._directory.others()
        assert len(vm._directory.others()) == 1


def test_a_stopped_vm_hands_over_and_leaves_the_list_at_once(fleet):
    """Another VM directs the jobs while the stopped one still serves clients."""
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


def test_vms_are_listed_again_after_their_leases_expired(fleet):
    fleet.kv.faults.down = True
    fleet.clock.advance(40.0)
    fleet.kv.faults.down = False
    fleet.clock.advance(12.0)
    for vm in fleet.vms.values():
        assert len(vm._directory.others()) == 1


def test_an_owner_that_only_one_vm_cannot_reach_is_not_replaced():
    fleet = PlatformFleet(vms=4)
    owner = fleet.owner
    for watcher in sorted(fleet.vms.keys() - {owner}):
        fleet.network.cut = {(watcher, f"{owner}:82")}
        fleet.clock.advance(4.0)
        fleet.network.cut = set()
        fleet.clock.advance(1.0)  # prevents two VMs from failing to reach it at the same time
        assert fleet.owner == owner


def test_no_task_runs_twice_while_a_replaced_owner_is_still_running():
    """An owner that no other VM reaches extends leases until the store shows that it was replaced.

    Its direct connection to the store is cut as well.
    """
    fleet = PlatformFleet(vms=3)
    owner = fleet.owner
    run(fleet, fleet.submit, owner, "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=9")
    others = fleet.vms.keys() - {owner}
    unreachable = fleet.executors[3]
    fleet.network.cut = {(other, f"{owner}:82") for other in others}
    fleet.network.cut |= {(other, unreachable.entry["addr"]) for other in others}
    fleet.network.cut.add((owner, STORE))
    fleet.clock.advance(2.0)
    assert fleet.owner in others
    fleet.clock.advance(30.0)
    fleet.network.cut = set()
    fleet.clock.advance(15.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


# Guards against owners that replace each other because the one in office is too busy to answer
# health checks in time; each takeover adds to the load.
def test_an_owner_that_answers_slowly_stays_in_office():
    fleet = PlatformFleet(vms=3)
    owner = fleet.owner
    for vm in fleet.vms:
        fleet.network.slow_servers[f"{vm}:82"] = 0.4
    run(fleet, fleet.submit, owner, "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=6")
    fleet.clock.advance(12.0)
    assert fleet.owner == owner
    assert run(fleet, fleet.state, owner, "ordinary", job_id(1)) == "completed"
    assert [r.outcome for r in fleet.run_history.runs] == ["done"] * 4


def test_an_owner_that_accepts_connections_but_renews_no_lease_is_replaced():
    fleet = PlatformFleet(vms=3)
    owner = fleet.owner
    fleet.network.slow_servers[f"{owner}:82"] = 60.0
    fleet.vms[owner]._elector._store.renew = lambda lease: fleet.clock.sleep(1e6)
    fleet.clock.advance(4.5)
    owners = [name for name, vm in fleet.vms.items() if vm.director and vm.director.recovered]
    assert [name for name in owners if name != owner]


def test_a_new_owner_contacts_a_worker_that_returned_after_it_left(fleet):
    worker = fleet.executors[3]
    drain_and_remove(fleet, worker)
    fleet.network.executors[worker.entry["addr"]] = worker
    fleet.operator.register(worker)
    fleet.clock.advance(3.0)
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), [step(count=4, gpu=8)], "run_s=9")
    assert worker.name in {r.executor for r in fleet.run_history.runs}
    fleet.operator.unregister(worker)
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.clock.advance(12.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert [r.outcome for r in fleet.run_history.runs] == ["done"] * 4
    fleet.check_invariants()


def test_a_failure_listed_again_to_a_new_owner_counts_once(fleet):
    """The owner crashes after it has stored a failure, but before the worker has forgotten it."""
    run(fleet, fleet.submit, "vm0", "patient", job_id(1), [step()], "run_s=4 fail=1", seconds=2.0)
    failing = fleet.run_history.runs[0]
    executor = next(e for e in fleet.executors if e.name == failing.executor)
    while failing.outcome != "failed" or not fleet.kv.keys("lacewingmill/run/"):
        fleet.clock.advance(0.01)
    assert not failing.acknowledged
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    assert executor.fence > 0
    fleet.clock.advance(10.0)
    assert run(fleet, fleet.state, fleet.owner, "patient", job_id(1)) == "completed"


def test_a_gang_continues_although_a_new_owner_cannot_reach_one_member(fleet):
    gang = [step(count=2, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=10")
    unreachable = next(e for e in fleet.executors if e.name == fleet.run_history.runs[1].executor)
    other = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.network.cut.add((other, unreachable.entry["addr"]))
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    fleet.network.cut.clear()  # before the lease of the unreachable member expires
    fleet.clock.advance(25.0)
    assert run(fleet, fleet.state, other, "ordinary", job_id(1)) == "completed"
    assert [r.outcome for r in fleet.run_history.runs] == ["done", "done"]
    fleet.check_invariants()


def test_a_gang_with_an_unreachable_member_restarts_only_after_its_leases_expire(fleet):
    gang = [step(count=2, gpu=8, gang=True)]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), gang, "run_s=10")
    unreachable = next(e for e in fleet.executors if e.name == fleet.run_history.runs[1].executor)
    reachable = next(e for e in fleet.executors if e.name == fleet.run_history.runs[0].executor)
    other = next(vm for vm in fleet.vms if vm != fleet.owner)
    fleet.network.cut.add((other, unreachable.entry["addr"]))
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    reachable.crash()
    fleet.operator.register(reachable)
    fleet.clock.advance(40.0)
    assert run(fleet, fleet.state, other, "ordinary", job_id(1)) == "completed"
    fleet.check_invariants()


def test_steps_started_before_their_dependencies_were_stored_continue():
    """Workers list unstored ends again, maybe later than runs of the steps that depend on them."""
    fleet = PlatformFleet(vms=2)
    steps = [step(count=1, gpu=8), step(count=3, gpu=8, after=[0])]
    run(fleet, fleet.submit, "vm0", "ordinary", job_id(1), steps, "run_s=3", seconds=2.5)
    first = next(r.executor for r in fleet.run_history.runs)
    fleet.kv.faults.down = True
    fleet.clock.advance(1.0)
    assert len(fleet.run_history.runs) == 4
    unreachable = next(e for e in fleet.executors if e.name == first)
    fleet.network.cut = {(f"vm{number}", unreachable.entry["addr"]) for number in range(9)}
    fleet.kill(fleet.owner)
    fleet.kv.faults.down = False
    wait_for_owner(fleet)
    fleet.network.cut = set()
    fleet.clock.advance(25.0)
    assert run(fleet, fleet.state, fleet.owner, "ordinary", job_id(1)) == "completed"
    assert {r.outcome for r in fleet.run_history.runs if r.executor != first} == {"done"}
    fleet.check_invariants()


def test_valid_settings_are_reloaded_and_invalid_ones_are_not(fleet):
    vm = fleet.vms["vm0"]
    before = vm._settings
    vm.reload(attrs.evolve(before, metrics="vm0:99"))
    assert vm._settings.metrics == "vm0:99"
    vm.reload_failed("field ip is missing")
    assert vm._settings.metrics == "vm0:99"


def test_an_advised_unit_that_a_new_owner_adopted_restarts_on_an_allowed_worker(fleet):
    """The new owner has no tickets of the unit yet when the unit loses its worker."""
    fleet.run_history.ticketed_executors[job_id(1)] = {"i-1", "i-2"}
    run(fleet, fleet.submit, "vm0", "advised", job_id(1), [step(gpu=8)], "run_s=20")
    fleet.kill(fleet.owner)
    wait_for_owner(fleet)
    holder = next(e for e in fleet.executors if e.name == fleet.run_history.runs[0].executor)
    holder.crash()
    fleet.operator.register(holder)
    fleet.clock.advance(30.0)
    assert run(fleet, fleet.state, fleet.owner, "advised", job_id(1)) == "completed"
    assert {r.executor for r in fleet.run_history.runs} <= {"i-1", "i-2"}
    fleet.check_invariants()
