"""Tests of owner election on virtual time, with store outages, pauses and hand-overs."""

import random

import attrs
import pytest
from fakes import FakeStore

from lacewingmill.cells.elector import Elector
from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog
from lacewingmill.exceptions import StoreUnavailable
from lacewingmill.membership.view import FleetView, PeerState
from lacewingmill.models import Fence, OwnerRecord, Role, Vm, VmState
from standins.virtual_clock import VirtualClock

VMS = 4
STEP_S = 0.25
RENEWALS_PER_S = 2.0


class Member:
    """The elector of one VM; the harness simulates its store watch and its heartbeats."""

    def __init__(self, harness, number):
        self.name = f"vm{number}"
        self.harness = harness
        self.fleet = FleetView(self.name)
        self.taken = []
        self.alive = True
        self.paused = False
        self.elector = Elector(
            "main",
            self.name,
            f"127.0.0.1:{number + 1}",
            harness.store,
            harness.clock,
            EventLog(self.name),
            self.fleet,
            self.take_over,
            lambda: None,
        )
        self.elector.eligible = True

    def take_over(self, fence):
        """Recover the cell; simulated workers reject a fence lower than the last one."""
        if fence < self.harness.workers_fence:
            return False
        self.harness.workers_fence = fence
        self.taken.append(fence)
        self.harness.taken.append((fence, self.name))
        return True

    def step(self):
        self.elector._step()

    def read_store(self):
        try:
            self.elector.read_owner_record()
            self.elector.on_store_available()
        except StoreUnavailable:
            self.elector.on_store_unavailable()


class Harness:
    """The electors of all VMs with a fake store, simulated workers and heartbeats."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.store = FakeStore(self.clock)
        self.workers_fence = Fence()
        self.taken = []
        self.members = [Member(self, number) for number in range(VMS)]
        listed = tuple(Vm(m.name, Role.ENTRY, "127.0.0.1:1", "d") for m in self.members)
        for member in self.members:
            member.fleet.update_vm_list(listed)

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            order = [m for m in self.members if m.alive and not m.paused]
            self.rng.shuffle(order)
            for member in order:
                member.read_store()
                self.heartbeat(member, order)
                member.step()

    def heartbeat(self, member, others):
        for other in others:
            if other is not member:
                other.elector.observe_owner(member.elector.owner, member.name)
                leaving = not member.elector.eligible
                state = PeerState(self.clock.now(), leaving=leaving)
                other.fleet.record_heartbeat(member.name, state)

    def owners(self):
        return [m for m in self.members if m.alive and not m.paused and m.elector.is_owner]


@pytest.mark.parametrize("seed", range(20))
def test_one_owner_is_elected_in_any_order_of_steps(seed):
    harness = Harness(seed)
    harness.run(5.0)
    assert len(harness.owners()) == 1
    assert len(set(harness.taken)) == len(harness.taken)


@pytest.mark.parametrize("seed", range(10))
def test_failed_owner_is_replaced_under_a_higher_fence(seed):
    harness = Harness(seed)
    harness.run(5.0)
    harness.owners()[0].alive = False
    harness.run(10.0)
    assert len(harness.owners()) == 1
    assert harness.owners()[0].elector.owner.fence > harness.taken[0][0]


@pytest.mark.parametrize("seed", range(10))
def test_paused_owner_steps_down_when_it_resumes(seed):
    harness = Harness(seed)
    harness.run(5.0)
    old = harness.owners()[0]
    old.paused = True
    harness.run(10.0)
    old.paused = False
    harness.run(3.0)
    assert not old.elector.is_owner
    assert len(harness.owners()) == 1


@pytest.mark.parametrize("seed", range(10))
def test_owner_remains_through_and_after_a_store_outage(seed):
    harness = Harness(seed)
    harness.run(5.0)
    owner = harness.owners()[0]
    harness.store.down = True
    harness.run(20.0)
    assert harness.owners() == [owner]
    harness.store.down = False
    harness.run(10.0)
    assert harness.owners() == [owner]
    assert len(harness.taken) == 1


@pytest.mark.parametrize("seed", range(10))
def test_successor_takes_over_while_the_store_is_down_and_remains_owner(seed):
    harness = Harness(seed)
    harness.run(5.0)
    harness.store.down = True
    harness.run(5.0)
    harness.owners()[0].alive = False
    harness.run(20.0)
    assert len(harness.owners()) == 1
    successor = harness.owners()[0]
    assert successor.elector.owner.fence.attempt >= 1
    harness.store.down = False
    harness.run(10.0)
    assert len(harness.owners()) == 1
    assert harness.owners()[0].elector.owner.fence == harness.workers_fence


@pytest.mark.parametrize("seed", range(10))
def test_one_owner_remains_after_lost_store_answers(seed):
    harness = Harness(seed)
    for _ in range(6):
        harness.store.lose_writes = harness.rng.randrange(4)
        harness.run(4.0)
    harness.store.lose_writes = 0
    harness.run(10.0)
    assert len(harness.owners()) == 1
    assert harness.owners()[0].elector.owner.fence == harness.workers_fence


def test_hand_over_at_a_planned_stop_takes_at_most_three_seconds():
    harness = Harness(1)
    harness.run(5.0)
    old = harness.owners()[0]
    old.elector.hand_over()
    harness.run(3.0)
    assert len(harness.owners()) == 1
    assert harness.owners()[0] is not old


def test_target_is_not_used_once_it_is_listed_as_leaving():
    view = FleetView("vm0")
    live = Vm("e0", Role.EXECUTOR, "127.0.0.1:1", "d", service="svc")
    view.update_vm_list((live,))
    assert view.live_vms(Role.EXECUTOR, "svc") == (live,)
    leaving = Vm("e0", Role.EXECUTOR, "127.0.0.1:1", "d", VmState.LEAVING, service="svc")
    assert view.update_vm_list((leaving,)) == [live]
    assert view.live_vms(Role.EXECUTOR, "svc") == ()
    view.update_vm_list((live,))
    assert view.update_vm_list(()) == [live]


def test_store_calls_of_owner_and_standby_are_bounded():
    """The owner renews its lease; other VMs make no calls, as a watch notifies them."""
    harness = Harness(3)
    harness.run(5.0)
    owner = harness.owners()[0]
    standby = next(member for member in harness.members if member is not owner)
    calls = harness.store.calls
    for _ in range(200):
        harness.clock.advance(0.1)
        owner.step()
    assert harness.store.calls - calls <= 20.0 * RENEWALS_PER_S
    calls = harness.store.calls
    for _ in range(200):
        harness.clock.advance(0.1)
        standby.step()
    assert harness.store.calls == calls


# Guards against an owner's record that holds nothing: the VM gave up its ownership while it waited
# for the lease of the record.
@pytest.mark.parametrize("call", ["grant_lease", "put"])
def test_an_owner_that_gives_up_while_it_publishes_stores_a_whole_record_or_none(call):
    harness = Harness(1)
    method = getattr(harness.store, call)

    def give_up_first(*args, **kwargs):
        for member in harness.members:
            member.elector.step_down()
        return method(*args, **kwargs)

    setattr(harness.store, call, give_up_first)
    harness.run(3.0)
    setattr(harness.store, call, method)
    key = harness.members[0].elector.key
    entry = harness.store.table.get(key)
    assert entry is None or decode(entry.value, OwnerRecord).vm
    harness.run(8.0)
    assert len(harness.owners()) == 1


@pytest.mark.parametrize("value", [encode(None), b"", b"\x91" * 5000])
def test_an_unreadable_record_of_the_owner_is_replaced(value):
    harness = Harness(1)
    harness.run(3.0)
    harness.owners()[0].alive = False
    key = harness.members[0].elector.key
    harness.store.put(key, value, expected=harness.store.table.revision_of(key))
    harness.run(10.0)
    assert len(harness.owners()) == 1
    assert decode(harness.store.table.get(key).value, OwnerRecord).vm == harness.owners()[0].name


# Guards against jobs that never reach their owner: another VM took over while this one recovered
# the cell, and this one went on to send its jobs to itself.
def test_a_vm_that_another_one_overtakes_while_it_takes_over_sends_jobs_to_that_one():
    harness = Harness(1)
    member, other = harness.members[:2]

    def overtaken(fence):
        higher = attrs.evolve(fence, epoch=fence.epoch + 1)
        member.elector.observe_owner(OwnerRecord(other.name, "127.0.0.1:2", higher), other.name)
        return False

    member.elector._take_over = overtaken
    member.elector._elect()
    assert not member.elector.is_owner
    assert member.elector.signal.record.vm == other.name
    assert member.elector.signal.record == member.elector.owner


# Guards against a driver without an owner: the VM began its planned stop while it recovered the
# cell.
@pytest.mark.parametrize("recovered", [True, False])
def test_a_vm_that_stops_while_it_takes_over_does_not_become_owner(recovered):
    harness = Harness(1)
    member = harness.members[0]
    lost = []

    def stopped(fence):
        member.elector.hand_over()
        lost.clear()
        return recovered

    member.elector._take_over = stopped
    member.elector._on_lost = lambda: lost.append(True)
    member.elector._elect()
    assert not member.elector.is_owner
    assert bool(lost) == recovered  # a driver that was started is stopped again
    assert harness.store.table.get(member.elector.key) is None
    harness.run(8.0)
    assert len(harness.owners()) == 1
    assert member.elector.signal.record == harness.owners()[0].elector.owner
