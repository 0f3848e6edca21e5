"""Faults of an emulated fleet: each begins now and most end by themselves after a while."""

import random
from collections.abc import Callable, Iterable

import gevent

from standins.platform.executors import Executor
from standins.platform.fleet import STORE, PlatformFleet

__all__ = [
    "EVACUATION",
    "FAULTS",
    "FAULT_S",
    "PLANNED_FAULTS",
    "TURNOVER_FAULTS",
    "TURNOVER_OUTAGES",
    "PlatformFaults",
]

FAULT_S = 3.0
SHORT_CUT_S = (0.5, 2.5)
LATE_ORDER_S = 2.5
EVACUATION_S = (2.0, 14.0)
# A VM that was stopped in good order starts again after this time.
RESTART_S = (0.3, 2.0)
# A worker that is withdrawn stops answering this time after its notice, and its entry lapses later.
NOTICE_S = (1.0, 2.0)
LAPSE_S = (0.5, 5.0)
SUCCESSOR_S = 4.0
# A worker that drains leaves once it is idle, or after the longest time.
EXIT_AFTER_END_S = 0.1
DRAIN_S = (0.5, 12.0)
DRAIN_POLL_S = 0.03
DOWN_S = (0.05, 1.5)
MIN_READY = 4


class PlatformFaults:
    """Injects faults into a fleet.

    The names of the public methods are the names of the faults.

    :param rng: draws the VMs and executors concerned.
    """

    def __init__(self, fleet: PlatformFleet, rng: random.Random):
        self._fleet = fleet
        self._rng = rng
        self._departing = fleet.departing

    def kill_owner(self) -> None:
        """Kill the VM that directs the jobs, and start it again later."""
        if self._fleet.owner:
            self._kill(self._fleet.owner)

    def kill_all(self) -> None:
        """Kill all VMs and start them again later."""
        for vm in list(self._fleet.vms):
            self._kill(vm)

    def store_down(self) -> None:
        """Let the store respond with 503."""
        self._set_store_fault("down", True, False)

    def store_silent(self) -> None:
        """Let the store respond to nothing."""
        self._set_store_fault("silent", True, False)

    def store_ignores_watches(self) -> None:
        """Let the store respond to no watch."""
        self._set_store_fault("deaf", True, False)

    def store_loses_answers(self) -> None:
        """Lose the responses to the next transactions, and apply one late."""
        self._fleet.kv.faults.lose_writes = 2
        self._fleet.kv.faults.late_writes = 1

    def store_discards_history(self) -> None:
        """Let the store forget its past changes."""
        self._fleet.kv.discard_history()

    def store_refuses_vm(self) -> None:
        """Let the store refuse the calls of one VM."""
        vm = self._rng.choice(sorted(self._fleet.http_clients))
        self._fleet.kv.faults.rejected_clients.add(vm)
        self._undo_later(lambda: self._fleet.kv.faults.rejected_clients.discard(vm))

    def cut_vm(self) -> None:
        """Cut a VM off from the store and the other VMs; it reaches the executors."""
        clients = self._fleet.http_clients
        vm = self._rng.choice(sorted(clients))
        others = {f"{other}:82" for other in clients if other != vm}
        pairs = {(vm, address) for address in others | {STORE}}
        pairs |= {(other, f"{vm}:82") for other in clients if other != vm}
        self._cut(pairs, FAULT_S)

    def cut_worker(self) -> None:
        """Cut an executor off from all VMs."""
        self._cut(self._paths_to([self._random_executor()]), FAULT_S)

    def cut_workers(self) -> None:
        """Cut some executors off from all VMs for a moment."""
        cut_off = self._rng.sample(self._fleet.executors, self._rng.randint(2, 4))
        self._cut(self._paths_to(cut_off), self._rng.uniform(*SHORT_CUT_S))

    def cut_workers_and_kill_owner(self) -> None:
        """Cut some executors off for a moment while the owner is killed."""
        self.cut_workers()
        self.kill_owner()

    def crash_worker(self) -> None:
        """Let an executor crash and start again."""
        worker = self._random_executor()
        worker.crash()
        self._fleet.operator.register(worker)

    def replace_worker(self) -> None:
        """Let an executor exit for good, and start another one with its labels and tickets."""
        worker = self._rng.choice([each for each in self._fleet.executors if not each.exited_at])
        worker.exit()
        self._fleet.operator.unregister(worker)
        self._add_successor(worker)

    def _add_successor(self, worker: Executor) -> None:
        number = len(self._fleet.executors)
        new = self._fleet.add_executor(number)
        new.entry |= {"labels": worker.entry["labels"], "zone": worker.entry["zone"]}
        self._fleet.operator.register(new)
        self._fleet.executors.append(new)
        self._fleet.replaced_by[worker.name] = new.name
        for names in self._fleet.run_history.ticketed_executors.values():
            if worker.name in names:
                names.add(new.name)

    def drain_worker(self) -> None:
        """Drain an executor for a while."""
        worker = self._random_executor()
        self._fleet.operator.register(worker, state="draining")
        self._undo_later(lambda: self._fleet.operator.register(worker))

    def unlist_worker(self) -> None:
        """Remove the entry of an executor that runs on."""
        worker = self._random_executor()
        self._fleet.operator.register(worker, state=self._rng.choice(["ready", "draining"]))
        self._fleet.operator.unregister(worker)
        self._undo_later(lambda: self._fleet.operator.register(worker))

    def fail_worker(self) -> None:
        """Let an executor fail all that it starts."""
        worker = self._random_executor()
        worker.failing = True
        self._undo_later(lambda: setattr(worker, "failing", False))

    def delay_orders(self) -> None:
        """Delay the orders to an executor beyond their timeouts."""
        worker = self._random_executor().name
        self._fleet.network.late_orders[worker] = LATE_ORDER_S
        self._undo_later(lambda: self._fleet.network.late_orders.pop(worker, None))

    def lose_order_answers(self) -> None:
        """Lose the responses to the next orders and polls of an executor."""
        worker = self._random_executor().name
        self._fleet.network.lost_responses[worker] = 2
        self._fleet.network.lost_holds[worker] = 2

    def reset_polls(self) -> None:
        """Reset the connections of the next polls of an executor."""
        self._fleet.network.reset_holds[self._random_executor().name] = 2

    def slow_worker(self) -> None:
        """Delay the responses of an executor for a while."""
        address = self._random_executor().entry["addr"]
        self._fleet.network.slow_servers[address] = self._rng.uniform(0.2, 0.8)
        self._undo_later(lambda: self._fleet.network.slow_servers.pop(address, None))

    def worker_refuses_starts(self) -> None:
        """Let an executor refuse all starts for a while."""
        worker = self._random_executor()
        worker.rejects_starts = True
        self._undo_later(lambda: setattr(worker, "rejects_starts", False))

    def evacuate_domain(self) -> None:
        """Request the evacuation of a zone for a while, unless it is evacuated."""
        operator = self._fleet.operator
        evacuated = {each.zone for each in operator.evacuations if each.ended_at == float("inf")}
        zone = self._rng.choice(sorted({each.entry["zone"] for each in self._fleet.executors}))
        if zone in evacuated:
            return
        operator.evacuate(zone)
        self._undo_later(lambda: operator.release(zone), after_s=self._rng.uniform(*EVACUATION_S))

    def stop_owner(self) -> None:
        """Stop the VM that directs the jobs in good order, and start it again."""
        if self._fleet.owner:
            gevent.spawn(self._stop_and_start, self._fleet.owner)

    def stop_vm(self) -> None:
        """Stop a VM in good order, and start it again."""
        if self._fleet.vms:
            gevent.spawn(self._stop_and_start, self._rng.choice(sorted(self._fleet.vms)))

    def leave_worker(self) -> None:
        """Drain an executor, which exits right after its last end; another one follows."""
        worker = self._take_ready_executor()
        if worker is not None:
            self._fleet.operator.register(worker, state="draining")
            gevent.spawn(self._drain_and_exit, worker)

    def withdraw_worker(self) -> None:
        """Withdraw an executor at short notice; another one follows."""
        worker = self._take_ready_executor()
        if worker is not None:
            self._fleet.operator.register(worker, state="draining")
            gevent.spawn(self._withdraw, worker)

    def cut_owner_from_vms(self) -> None:
        """Cut the owner off from the other VMs; it reaches the store and the executors."""
        owner = self._fleet.owner
        others = [vm for vm in self._fleet.http_clients if vm != owner]
        if owner:
            pairs = {(owner, f"{other}:82") for other in others}
            self._cut(pairs | {(other, f"{owner}:82") for other in others}, FAULT_S)

    def cut_workers_from_some_vms(self) -> None:
        """Cut some executors off from some VMs."""
        vms = sorted(self._fleet.http_clients)
        vms = self._rng.sample(vms, self._rng.randint(1, len(vms) - 1))
        workers = self._rng.sample(self._fleet.executors, self._rng.randint(1, 3))
        pairs = {(vm, each.entry["addr"]) for vm in vms for each in workers}
        self._cut(pairs, self._rng.uniform(1.0, 8.0))

    def lose_poll_answers(self) -> None:
        """Lose the responses to the next polls of an executor, which carries them out."""
        self._fleet.network.lost_hold_answers[self._random_executor().name] = 2

    def delay_polls(self) -> None:
        """Delay the polls of an executor beyond their timeouts."""
        worker = self._random_executor().name
        self._fleet.network.late_holds[worker] = LATE_ORDER_S
        self._undo_later(lambda: self._fleet.network.late_holds.pop(worker, None))

    def restart_worker(self) -> None:
        """Let an executor crash, which breaks its calls, and start again under its id."""
        worker = self._take_ready_executor()
        if worker is None:
            return
        worker.exit()

        def start():
            worker.crash()
            self._fleet.operator.register(worker)
            self._departing.discard(worker)

        self._undo_later(start, after_s=self._rng.uniform(*DOWN_S))

    def _take_ready_executor(self) -> Executor | None:
        """Return an executor that neither has left nor is about to, and note that it will."""
        ready = [
            each
            for each in self._fleet.executors
            if each.exited_at is None and each not in self._departing
        ]
        if len(ready) <= MIN_READY:
            return None
        worker = self._rng.choice(ready)
        self._departing.add(worker)
        return worker

    def _stop_and_start(self, name: str) -> None:
        vm = self._fleet.vms[name]
        vm.begin_stop()
        vm.wait()
        if self._fleet.vms.get(name) is vm:
            self._fleet.kill(name)
            restart_s = self._rng.uniform(*RESTART_S)
            self._undo_later(lambda: self._fleet.start_vm(name), after_s=restart_s)

    def _drain_and_exit(self, worker: Executor) -> None:
        clock = self._fleet.clock
        earliest, latest = (clock.now() + each for each in DRAIN_S)
        while worker.exited_at is None and clock.now() < latest:
            clock.sleep(DRAIN_POLL_S)
            idle_since = worker.idle_since
            if idle_since is not None and clock.now() >= max(
                earliest, idle_since + EXIT_AFTER_END_S
            ):
                break
        worker.exit()
        self._fleet.operator.unregister(worker)
        self._undo_later(lambda: self._add_successor(worker), after_s=SUCCESSOR_S)

    def _withdraw(self, worker: Executor) -> None:
        network = self._fleet.network
        self._fleet.clock.sleep(self._rng.uniform(*NOTICE_S))
        network.dark.add(worker.name)
        network.outdated_machines.add(worker.name)
        network.cut |= {(vm, worker.entry["addr"]) for vm in self._fleet.http_clients}
        worker.exit()
        self._undo_later(lambda: self._add_successor(worker), after_s=SUCCESSOR_S)
        self._fleet.clock.sleep(self._rng.uniform(*LAPSE_S))
        self._fleet.operator.unregister(worker)
        network.outdated_machines.discard(worker.name)

    def _random_executor(self) -> Executor:
        return self._rng.choice(self._fleet.executors)

    def _paths_to(self, executors: Iterable[Executor]) -> set[tuple[str, str]]:
        clients = self._fleet.http_clients
        return {(vm, each.entry["addr"]) for vm in clients for each in executors}

    def _cut(self, pairs: set[tuple[str, str]], duration_s: float) -> None:
        self._fleet.network.cut |= pairs
        self._undo_later(
            lambda: self._fleet.network.cut.difference_update(pairs), after_s=duration_s
        )

    def _kill(self, vm: str) -> None:
        self._fleet.kill(vm)
        self._undo_later(lambda: self._fleet.start_vm(vm))

    def _set_store_fault(self, name: str, value, normal) -> None:
        setattr(self._fleet.kv.faults, name, value)
        self._undo_later(lambda: setattr(self._fleet.kv.faults, name, normal))

    def _undo_later(self, undo: Callable[[], None], after_s: float = FAULT_S) -> None:
        def wait_and_undo():
            self._fleet.clock.sleep(after_s)
            undo()

        gevent.spawn(wait_and_undo)


EVACUATION = PlatformFaults.evacuate_domain.__name__
# What goes on while VMs and executors are replaced, as announced; the plans of kept seeds know none
# of it.
PLANNED_TURNOVER = ("stop_owner", "stop_vm", "leave_worker", "withdraw_worker")
UNPLANNED_TURNOVER = (
    "cut_owner_from_vms",
    "cut_workers_from_some_vms",
    "lose_poll_answers",
    "delay_polls",
    "restart_worker",
)
TURNOVER_FAULTS = (*PLANNED_TURNOVER, "drain_worker", EVACUATION)
TURNOVER_OUTAGES = (
    *UNPLANNED_TURNOVER,
    "kill_owner",
    "store_down",
    "store_silent",
    "store_ignores_watches",
    "store_loses_answers",
    "cut_vm",
    "cut_worker",
    "cut_workers",
    "lose_order_answers",
    "reset_polls",
    "delay_orders",
    "slow_worker",
)
PLANNED_FAULTS = frozenset(TURNOVER_FAULTS)
# An evacuation is a request and no fault, and is drawn apart from the faults.
_DRAWN_APART = (EVACUATION, *PLANNED_TURNOVER, *UNPLANNED_TURNOVER)
FAULTS = tuple(
    name for name in vars(PlatformFaults) if not name.startswith("_") and name not in _DRAWN_APART
)
