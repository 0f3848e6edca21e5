"""Readiness and planned stop of an entry VM, in virtual time."""

from pathlib import Path
from types import SimpleNamespace

import attrs

from lacewingmill.adapters.store import StoreUsage
from lacewingmill.events import EventLog
from lacewingmill.membership.view import FleetView, PeerState
from lacewingmill.settings import load_settings
from lacewingmill.vm import EntryVm
from standins.virtual_clock import VirtualClock

STOP_DRAIN_S = 1.0


@attrs.define
class Stub:
    """A stub for the store and the catalogue."""

    revision: int = 0
    usage: StoreUsage = attrs.field(factory=StoreUsage)


def make_vm(tmp_path: Path):
    path = tmp_path / "vm.yaml"
    path.write_text(
        "vm: a\nfailure_domain: d\nlisten: 127.0.0.1:1\ncontrol: 127.0.0.1:2\n"
        "store: 127.0.0.1:3\nvm_list: 127.0.0.1:4\nstale_after: 60 s\ndrain: 1 s\n"
    )
    clock, fleet, catalogue = VirtualClock(), FleetView("a"), Stub()
    vm = EntryVm(load_settings(path), clock, EventLog("a"), None, Stub(), None, fleet)
    vm.attach(catalogue, None, None, None, None, None, None, None)
    return vm, clock, fleet, catalogue


def test_vm_is_not_ready_before_it_has_vm_list_and_configuration(tmp_path):
    vm, _, _, catalogue = make_vm(tmp_path)
    assert "VM list" in vm.why_not_ready()
    vm._vm_list_read = True
    assert "configuration" in vm.why_not_ready()
    catalogue.revision = 3
    assert vm.why_not_ready() == ""


def test_vm_without_store_and_peers_becomes_not_ready(tmp_path):
    vm, clock, fleet, catalogue = make_vm(tmp_path)
    vm._vm_list_read, catalogue.revision = True, 3
    clock.advance(59.0)
    assert vm.why_not_ready() == ""
    clock.advance(2.0)
    assert "cut off" in vm.why_not_ready()
    fleet.record_heartbeat("b", PeerState(clock.now()))
    assert vm.why_not_ready() == ""


@attrs.define
class FakeServer:
    """A server whose number of requests in flight is set by the test."""

    in_flight: int = 0

    def drain(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


def test_planned_stop_waits_for_requests_received_during_the_history_commit(tmp_path):
    vm, clock, _, _ = make_vm(tmp_path)
    server = FakeServer()
    vm._elector = SimpleNamespace(hand_over=lambda: None)
    vm._history = SimpleNamespace(commit=lambda: clock.sleep(1.5))  # the store is slow
    vm._entry_server = vm._control_server = server
    vm.begin_stop()
    clock.advance(STOP_DRAIN_S + 1.0)
    server.in_flight = 1
    clock.advance(5.0)
    assert not vm._stopped.is_set()
    server.in_flight = 0
    clock.advance(5.0)
    assert vm._stopped.is_set()
