"""What operators do through the control address of any entry VM: publish, audit, fleet."""

import attrs

from lacewingmill.catalogue.documents import check_services
from lacewingmill.catalogue.packing import check_packing
from lacewingmill.catalogue.publisher import Publisher
from lacewingmill.cells.history import History, HistoryEntry
from lacewingmill.exceptions import DocumentInvalid
from lacewingmill.membership.view import FleetView
from lacewingmill.models import CatalogueIndex, Role, Service

__all__ = ["Fleet", "FleetMember", "Operations", "PublishOrder", "PublishResult"]


@attrs.frozen
class PublishRequest:
    """A publication.

    :param write_id: unique per publication; repeating the order is harmless.
    :param base: the revision that the files were based on; ``None`` for the present one.
    """

    services: tuple[Service, ...]
    by: str
    write_id: str
    base: int | None


@attrs.frozen
class PublishResult:
    """An accepted publication.

    :param warnings: guarantees that would not pack with one worker lost.
    """

    index: CatalogueIndex
    warnings: tuple[str, ...]


@attrs.frozen
class FleetMember:
    """An entry VM and its control address."""

    vm: str
    control: str


@attrs.frozen
class Fleet:
    """The live entry VMs."""

    members: tuple[FleetMember, ...]


class Operations:
    """Carries operators' orders out."""

    def __init__(self, publisher: Publisher, fleet: FleetView, history: History):
        self._publisher = publisher
        self._fleet = fleet
        self._history = history

    def publish(self, order: PublishRequest) -> PublishResult:
        """Check a configuration against the live workers and publish it.

        :raises DocumentInvalid: when services clash or guarantees cannot pack together.
        :raises PublishConflict: when another operator published first.
        :raises StoreUnavailable: when the store stayed away.
        """
        findings = check_services(order.services)
        packing = check_packing(order.services, self._fleet.all_vms())
        findings.extend(packing.shortfalls)
        if findings:
            raise DocumentInvalid(findings)
        index = self._publisher.publish(order.services, order.by, order.write_id, order.base)
        return PublishResult(index, packing.shortfalls_after_loss)

    def audit(self) -> tuple[CatalogueIndex, ...]:
        """Return all accepted indexes, oldest first.

        :raises StoreUnavailable: when the store does not answer.
        """
        return tuple(self._publisher.audit())

    def history(self, hours: int, job: str) -> tuple[HistoryEntry, ...]:
        """Return what was decided in the cell during the last hours, oldest first.

        :param job: only what concerns this job; everything when empty.
        :raises StoreUnavailable: when the store does not answer.
        """
        return self._history.read(hours, job)

    def fleet(self) -> Fleet:
        """Return the live entry VMs."""
        members = (FleetMember(vm.name, vm.control) for vm in self._fleet.live_vms(Role.ENTRY))
        return Fleet(tuple(members))
