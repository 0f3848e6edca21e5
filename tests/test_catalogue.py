"""Publishing: conflicts, lost answers, outages; a revision in force never reverts."""

import pytest
from fakes import FakeStore, VirtualClock, make_workers

from lacewingmill.catalogue.current import CatalogueBundle, CurrentCatalogue
from lacewingmill.catalogue.packing import check_packing
from lacewingmill.catalogue.publisher import Publisher
from lacewingmill.events import EventLog
from lacewingmill.exceptions import DocumentInvalid, PublishConflict, StoreUnavailable
from lacewingmill.membership.view import FleetView
from lacewingmill.models import CatalogueIndex, Guarantee, Route, RouteKind, Service, Shape, Team
from lacewingmill.operations import Operations, PublishOrder


def service(name="svc", count=1, path="/p"):
    shape = Shape("whole", 8, processors=4, memory_gb=16)
    team = Team("t", (Guarantee("whole", count),))
    return Service(name, (team,), (shape,), (Route(path, RouteKind.ORDINARY),))


class World:
    def __init__(self):
        self.clock = VirtualClock()
        self.store = FakeStore(self.clock)
        self.publisher = Publisher(self.store, self.clock)
        self.seen = []
        self.catalogue = CurrentCatalogue(
            self.store, EventLog("vm"), lambda c: self.seen.append(c.revision)
        )


@pytest.fixture
def world():
    return World()


def test_publication_is_in_force_and_audited(world):
    world.publisher.publish((service(),), "ann", "w1", None)
    world.publisher.publish((service(count=2),), "bob", "w2", 1)
    world.catalogue.refresh()
    assert world.catalogue.revision == 2
    trail = world.publisher.audit()
    assert [(entry.revision, entry.by, entry.base) for entry in trail] == [
        (1, "ann", 0),
        (2, "bob", 1),
    ]
    assert trail[1].changes[0].startswith("changed service svc")


def test_racing_operator_gets_both_revisions(world):
    world.publisher.publish((service(),), "ann", "w1", None)
    world.publisher.publish((service(count=2),), "bob", "w2", 1)
    with pytest.raises(PublishConflict) as caught:
        world.publisher.publish((service(count=3),), "cid", "w3", 1)
    assert (caught.value.base, caught.value.current) == (1, 2)


def test_lost_answer_of_the_index_is_settled_by_reading(world):
    writes = []
    put = world.store.put

    def lose_index_answer(key, value, **kwargs):
        revision = put(key, value, **kwargs)
        if key.endswith("live/index") and not writes:
            writes.append(key)
            raise StoreUnavailable("answer lost", step="put", peer="store")
        return revision

    world.store.put = lose_index_answer
    world.clock.sleep = lambda seconds: None
    index = world.publisher.publish((service(),), "ann", "w1", 0)
    assert index.revision == 1
    assert [entry.revision for entry in world.publisher.audit()] == [1]


def test_revision_never_reverts(world):
    world.publisher.publish((service(),), "ann", "w1", None)
    world.publisher.publish((service(count=2),), "ann", "w2", None)
    world.catalogue.refresh()
    old = CatalogueBundle(CatalogueIndex(revision=1), ())
    assert not world.catalogue.apply_if_newer(old)
    world.store.down = True
    with pytest.raises(StoreUnavailable):
        world.catalogue.refresh()
    assert world.catalogue.revision == 2
    assert world.seen == [2]


def test_only_changed_documents_are_read(world):
    world.publisher.publish((service("a"), service("b", path="/b")), "ann", "w1", None)
    world.catalogue.refresh()
    world.publisher.publish((service("a", 2), service("b", path="/b")), "ann", "w2", None)
    before = world.store.calls
    world.catalogue.refresh()
    assert world.store.calls - before == 2  # the index and one document


def test_guarantees_that_cannot_pack_are_refused(world):
    fleet = FleetView("vm")
    fleet.update_vm_list(make_workers(2))
    operations = Operations(world.publisher, fleet, history=None)
    with pytest.raises(DocumentInvalid) as caught:
        operations.publish(PublishOrder((service(count=3),), "ann", "w1", None))
    assert "teams.t.guarantees.whole" in caught.value.findings[0]
    assert world.publisher.current()[0].revision == 0


def test_guarantees_that_pack_only_with_all_workers_give_a_warning():
    report = check_packing((service(count=2),), make_workers(2))
    assert report.shortfalls == ()
    assert report.shortfalls_after_loss
