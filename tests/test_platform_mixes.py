"""Random failures in series and together on the emulated platform, by seed and on virtual time."""

import random

import attrs
import gevent
import pytest
from gevent.event import Event

from tests.platform_fleet import STORE, PlatformFleet, job_id, step, wait_for_owner
from tests.test_platform_path import run

# Beside twelve at random those that failed once: 29 (a worker was not looked at after starts
# without an answer), 33 (steps begun before their needs were stored were begun again).
SEEDS = (*range(12), 29, 33)
DAY_S = 24.0
FAULT_EVERY_S = 2.5
FAULT_S = 3.0
TRIES = 4
TRY_S = 3.0
# What the users allow a cancellation and a stop, together.
CANCEL_S = 3.4


@attrs.define
class Asked:
    """What a caller asked for and was told.

    :param told: the last status of the hand-in; ``None`` when no answer came.
    :param doubtful: whether any try of it was not refused.
    :param cancel_asked: whether it was given up, with an answer or without.
    """

    queue: str
    told: int | None = None
    doubtful: bool = False
    cancel_asked: bool = False
    cancelled_at: float | None = None


class Mix:
    """A fleet, callers and failures drawn from one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = PlatformFleet(vms=4, executors=6)
        self.clock = self.fleet.clock
        self.asked = {}
        self.faults = [
            self.kill_owner,
            self.kill_all,
            self.store_down,
            self.store_silent,
            self.store_deaf,
            self.store_loses,
            self.store_forgets,
            self.store_turns_away,
            self.cut_vm,
            self.cut_worker,
            self.crash_worker,
            self.leave,
            self.late_orders,
            self.lost_orders,
        ]

    def play(self):
        """Let callers and failures act for a day, then let all heal."""
        http_clients = gevent.spawn(self.hand_in)
        end = self.clock.now() + DAY_S
        while self.clock.now() < end:
            self.clock.advance(self.rng.uniform(0.2, FAULT_EVERY_S))
            self.rng.choice(self.faults)()
        http_clients.kill(block=False)
        self.clock.advance(2 * FAULT_S)
        wait_for_owner(self.fleet, seconds=10.0)
        self.clock.advance(45.0)

    def hand_in(self):
        for number in range(1, 1000):
            self.clock.sleep(self.rng.uniform(0.2, 1.0))
            gevent.spawn(self.ask, job_id(number))

    def ask(self, name):
        queue = self.rng.choice(["urgent", "ordinary", "patient"])
        gang = self.rng.random() < 0.4
        steps = [step(count=self.rng.randint(1, 5), gpu=self.rng.choice([1, 2, 8]), gang=gang)]
        if self.rng.random() < 0.3:
            steps.append(step(count=2, after=[0]))
        spec = f"run_s={self.rng.uniform(0.3, 4.0):.2f}"
        asked = self.asked[name] = Asked(queue)
        for _ in range(TRIES):
            asked.told = self.call(self.fleet.submit, queue, name, steps, spec)
            asked.doubtful |= asked.told != 503
            if asked.told == 200:
                break
            self.clock.sleep(0.8)
        if asked.told == 200 and self.rng.random() < 0.2:
            self.clock.sleep(self.rng.uniform(0.0, 3.0))
            asked.cancel_asked = True
            status = self.call(self.fleet.call, "DELETE", f"/{queue}/{name}")
            if isinstance(status, tuple) and status[0] == 200:
                asked.cancelled_at = self.clock.now()

    def call(self, send, *args):
        """Call any VM that lives; return ``None`` when no answer comes in time."""
        if not self.fleet.vms:
            return None
        vm = self.rng.choice(sorted(self.fleet.vms))
        answered = Event()
        greenlet = gevent.spawn(send, vm, *args)
        greenlet.rawlink(lambda _: answered.set())
        if not self.clock.wait(answered, TRY_S) or not greenlet.successful():
            return None
        return greenlet.value

    def later(self, undo):
        def wait():
            self.clock.sleep(FAULT_S)
            undo()

        gevent.spawn(wait)

    def kill_owner(self):
        if self.fleet.owner:
            self.kill(self.fleet.owner)

    def kill_all(self):
        for vm in list(self.fleet.vms):
            self.kill(vm)

    def kill(self, vm):
        self.fleet.kill(vm)
        self.later(lambda: self.fleet.start_vm(vm))

    def set_store(self, name, value, normal):
        setattr(self.fleet.kv.faults, name, value)
        self.later(lambda: setattr(self.fleet.kv.faults, name, normal))

    def store_down(self):
        self.set_store("down", True, False)

    def store_silent(self):
        self.set_store("silent", True, False)

    def store_deaf(self):
        self.set_store("deaf", True, False)

    def store_loses(self):
        self.fleet.kv.faults.lose_writes = 2
        self.fleet.kv.faults.late_writes = 1

    def store_forgets(self):
        self.fleet.kv.forget_history()

    def store_turns_away(self):
        vm = self.rng.choice(sorted(self.fleet.http_clients))
        self.fleet.kv.faults.turned_away.add(vm)
        self.later(lambda: self.fleet.kv.faults.turned_away.discard(vm))

    def cut(self, pairs):
        self.fleet.network.cut |= pairs
        self.later(lambda: self.fleet.network.cut.difference_update(pairs))

    def cut_vm(self):
        vm = self.rng.choice(sorted(self.fleet.http_clients))
        others = {f"{other}:82" for other in self.fleet.http_clients if other != vm}
        pairs = {(vm, address) for address in others | {STORE}}
        pairs |= {(other, f"{vm}:82") for other in self.fleet.http_clients if other != vm}
        self.cut(pairs)

    def cut_worker(self):
        address = self.rng.choice(self.fleet.executors).entry["addr"]
        self.cut({(vm, address) for vm in self.fleet.http_clients})

    def crash_worker(self):
        worker = self.rng.choice(self.fleet.executors)
        worker.crash()
        self.fleet.operator.register(worker)

    def leave(self):
        worker = self.rng.choice(self.fleet.executors)
        self.fleet.operator.register(worker, state="draining")
        self.later(lambda: self.fleet.operator.register(worker))

    def late_orders(self):
        worker = self.rng.choice(self.fleet.executors).name
        self.fleet.network.late_orders[worker] = 2.5
        self.later(lambda: self.fleet.network.late_orders.pop(worker, None))

    def lost_orders(self):
        worker = self.rng.choice(self.fleet.executors).name
        self.fleet.network.lost_answers[worker] = 2
        self.fleet.network.lost_holds[worker] = 2


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_through_a_mix_of_failures(seed):
    mix = Mix(seed)
    mix.play()
    fleet = mix.fleet
    fleet.check_invariants()
    ran = {entry.task.split(".", 1)[0] for entry in fleet.book.runs}
    accepted = 0
    for name, asked in mix.asked.items():
        if not asked.doubtful:
            assert name not in ran, f"{name} was refused and ran"
        if asked.told != 200:
            continue
        accepted += 1
        state = run(fleet, fleet.state, fleet.owner, asked.queue, name, seconds=0.1)
        if not asked.cancel_asked:
            assert state == "completed", f"{name} is {state}"
            continue
        assert state in ("cancelled", "completed"), f"{name} is {state}"
        late = [
            entry
            for entry in fleet.book.runs
            if entry.task.startswith(name)
            and asked.cancelled_at is not None
            and entry.started_at > asked.cancelled_at + CANCEL_S
        ]
        assert late == [], f"{name} was started after it was cancelled"
    assert accepted > 5
