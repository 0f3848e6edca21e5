"""The scheduler's invariants under random events, and their checks under injected faults."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from scheduler_machine import SchedulerMachine, StableMachine

from lacewingmill.scheduling import cluster, reclaim, state
from lacewingmill.scheduling.guarantees import SlotTable

SETTINGS = settings(
    max_examples=120,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
    report_multiple_bugs=False,
)

# An injected fault needs to be found but not shrunk.
FAULT_SETTINGS = settings(SETTINGS, phases=(Phase.generate,))


@pytest.mark.parametrize("machine", [SchedulerMachine, StableMachine])
def test_invariants_hold_under_random_events(machine):
    run_state_machine_as_test(machine, settings=SETTINGS)


def _ignores_reservations(monkeypatch):
    monkeypatch.setattr(
        cluster.WorkerState,
        "claimable_units",
        lambda worker_state, shape: worker_state.unprotected_units(shape),
    )


def _evicts_anything(monkeypatch):
    monkeypatch.setattr(reclaim._VictimChooser, "_evictable", lambda self, job_id: True)


def _allocates_without_taking(monkeypatch):
    original = cluster.Cluster._set_free

    def set_free(self, worker_state, free):
        original(
            self, worker_state, free if len(free) > len(worker_state.free) else worker_state.free
        )

    monkeypatch.setattr(cluster.Cluster, "_set_free", set_free)


def _drops_a_member(monkeypatch):
    original = cluster.Cluster.allocate

    def allocate(self, job_id, shape, block):
        return original(self, job_id, shape, block)[:1]

    monkeypatch.setattr(cluster.Cluster, "allocate", allocate)


def _loses_reservations(monkeypatch):
    """A released slot gets no reserved block, neither its old one nor another."""
    monkeypatch.setattr(state.SchedulerState, "_return_slot", lambda self, slot, block: None)
    fill_shortfalls, configure = SlotTable.fill_shortfalls, SlotTable.configure

    def configure_and_fill(self, guarantees):
        configure(self, guarantees)
        fill_shortfalls(self)

    monkeypatch.setattr(SlotTable, "fill_shortfalls", lambda self: None)
    monkeypatch.setattr(SlotTable, "configure", configure_and_fill)


def _schedules_on_cordoned_workers(monkeypatch):
    monkeypatch.setattr(cluster.Cluster, "schedulable", lambda self, worker_state: True)


def _keeps_reservations_on_cordoned_workers(monkeypatch):
    monkeypatch.setattr(SlotTable, "unreserve_worker", lambda self, worker: None)


@pytest.mark.parametrize(
    "inject_fault",
    [
        _ignores_reservations,
        _evicts_anything,
        _allocates_without_taking,
        _drops_a_member,
        _loses_reservations,
        _schedules_on_cordoned_workers,
        _keeps_reservations_on_cordoned_workers,
    ],
)
def test_invariants_fail_on_an_injected_fault(inject_fault, monkeypatch):
    inject_fault(monkeypatch)
    with pytest.raises((AssertionError, KeyError, IndexError)):
        run_state_machine_as_test(StableMachine, settings=FAULT_SETTINGS)
        run_state_machine_as_test(SchedulerMachine, settings=FAULT_SETTINGS)
