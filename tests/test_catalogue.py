"""Publishing: conflicts, lost answers and outages of the store, revisions that never decrease."""

import pytest
from fakes import FakeStore, make_workers

from lacewingmill.catalogue.current import CatalogueBundle, CurrentCatalogue
from lacewingmill.catalogue.packing import check_packing
from lacewingmill.catalogue.publisher import Publisher
from lacewingmill.events import EventLog
from lacewingmill.exceptions import DocumentInvalid, PublishConflict, StoreUnavailable
from lacewingmill.membership.view import FleetView
from lacewingmill.models import CatalogueIndex, Guarantee, Route, RouteKind, Service, Shape, Team
from lacewingmill.operations import Operations, PublishRequest
from standins.virtual_clock import VirtualClock


def service(name="svc", count=1, path="/p"):
    shape = Shape("whole", 8, processors=4, memory_gb=16)
    team = Team("t", (Guarantee("whole", count),))
    return Service(name, (team,), (shape,), (Route(path, RouteKind.ORDINARY),))


class Harness:
    def __init__(self):
        self.clock = VirtualClock()
        self.store = FakeStore(self.clock)
        self.publisher = Publisher(self.store, self.clock)
        self.applied_revisions = []
        self.catalogue = CurrentCatalogue(
            self.store, EventLog("vm"), lambda c: self.applied_revisions.append(c.revision)
        )


@pytest.fixture
def harness():
    return Harness()


def test_publication_is_in_force_and_audited(harness):
    harness.publisher.publish((service(),), "ann", "w1", None)
    harness.publisher.publish((service(count=2),), "bob", "w2", 1)
    harness.catalogue.refresh()
    assert harness.catalogue.revision == 2
    trail = harness.publisher.audit()
    assert [(entry.revision, entry.by, entry.base) for entry in trail] == [
        (1, "ann", 0),
        (2, "bob", 1),
    ]
    assert trail[1].changes[0].startswith("changed service svc")


def test_conflicting_publication_reports_both_revisions(harness):
    harness.publisher.publish((service(),), "ann", "w1", None)
    harness.publisher.publish((service(count=2),), "bob", "w2", 1)
    with pytest.raises(PublishConflict) as caught:
        harness.publisher.publish((service(count=3),), "cid", "w3", 1)
    assert (caught.value.base, caught.value.current) == (1, 2)


def test_lost_answer_of_the_index_write_is_resolved_by_reading_the_index(harness):
    lost_writes = []
    put = harness.store.put

    def lose_index_answer(key, value, **kwargs):
        revision = put(key, value, **kwargs)
        if key.endswith("live/index") and not lost_writes:
            lost_writes.append(key)
            raise StoreUnavailable("answer lost", step="put", peer="store")
        return revision

    harness.store.put = lose_index_answer
    harness.clock.sleep = lambda seconds: None
    index = harness.publisher.publish((service(),), "ann", "w1", 0)
    assert index.revision == 1
    assert [entry.revision for entry in harness.publisher.audit()] == [1]


def test_revision_in_force_never_decreases(harness):
    harness.publisher.publish((service(),), "ann", "w1", None)
    harness.publisher.publish((service(count=2),), "ann", "w2", None)
    harness.catalogue.refresh()
    old = CatalogueBundle(CatalogueIndex(revision=1), ())
    assert not harness.catalogue.apply_if_newer(old)
    harness.store.down = True
    with pytest.raises(StoreUnavailable):
        harness.catalogue.refresh()
    assert harness.catalogue.revision == 2
    assert harness.applied_revisions == [2]


def test_only_changed_documents_are_read(harness):
    harness.publisher.publish((service("a"), service("b", path="/b")), "ann", "w1", None)
    harness.catalogue.refresh()
    harness.publisher.publish((service("a", 2), service("b", path="/b")), "ann", "w2", None)
    before = harness.store.calls
    harness.catalogue.refresh()
    assert harness.store.calls - before == 2  # the index and one document


def test_guarantees_that_do_not_fit_are_refused(harness):
    fleet = FleetView("vm")
    fleet.update_vm_list(make_workers(2))
    operations = Operations(harness.publisher, fleet, history=None)
    with pytest.raises(DocumentInvalid) as caught:
        operations.publish(PublishRequest((service(count=3),), "ann", "w1", None))
    assert "teams.t.guarantees.whole" in caught.value.findings[0]
    assert harness.publisher.read_index()[0].revision == 0


def test_guarantees_that_fit_only_with_all_workers_give_a_warning():
    report = check_packing((service(count=2),), make_workers(2))
    assert report.shortfalls == ()
    assert report.shortfalls_after_loss
