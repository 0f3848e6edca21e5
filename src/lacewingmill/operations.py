"""Operations for operators: publish, audit, history and the list of live entry VMs."""

import attrs

from lacewingmill.catalogue.documents import check_services
from lacewingmill.catalogue.packing import check_packing
from lacewingmill.catalogue.publisher import Publisher
from lacewingmill.cells.history import History, HistoryEntry
from lacewingmill.exceptions import DocumentInvalid
from lacewingmill.membership.view import FleetView
from lacewingmill.models import CatalogueIndex, Role, Service

__all__ = ["Fleet", "FleetMember", "Operations", "PublishRequest", "PublishResult"]


@attrs.frozen
class PublishRequest:
    """A request to publish a configuration.

    :param by: name of the operator.
    :param write_id: unique per publication; repeating a request with the same id is safe.
    :param base: revision that the service files are based on; ``None`` skips the check.
    """

    services: tuple[Service, ...]
    by: str
    write_id: str
    base: int | None


@attrs.frozen
class PublishResult:
    """The result of a publication that was accepted.

    :param warnings: guarantees that would not fit after the loss of one worker.
    """

    index: CatalogueIndex
    warnings: tuple[str, ...]


@attrs.frozen
class FleetMember:
    """An entry VM and its control address as ``host:port``."""

    vm: str
    control: str


@attrs.frozen
class Fleet:
    """The live entry VMs."""

    members: tuple[FleetMember, ...]


class Operations:
    """Implements the operations for operators."""

    def __init__(self, publisher: Publisher, fleet: FleetView, history: History):
        self._publisher = publisher
        self._fleet = fleet
        self._history = history

    def publish(self, publication: PublishRequest) -> PublishResult:
        """Check a configuration against the live workers and publish it.

        :raises DocumentInvalid: services conflict, or the guarantees do not fit on the workers.
        :raises PublishConflict: another operator published first.
        :raises StoreUnavailable: the store did not answer any attempt.
        """
        findings = check_services(publication.services)
        packing = check_packing(publication.services, self._fleet.all_vms())
        findings.extend(packing.shortfalls)
        if findings:
            raise DocumentInvalid(findings)
        index = self._publisher.publish(
            publication.services, publication.by, publication.write_id, publication.base
        )
        return PublishResult(index, packing.shortfalls_after_loss)

    def audit(self) -> tuple[CatalogueIndex, ...]:
        """Return all accepted catalogue indexes, oldest first.

        :raises StoreUnavailable: the store does not answer.
        """
        return tuple(self._publisher.audit())

    def history(self, hours: int, job: str) -> tuple[HistoryEntry, ...]:
        """Return the history entries of the cell for the last hours, oldest first.

        :param job: return only entries about this job; all if empty.
        :raises StoreUnavailable: the store does not answer.
        """
        return self._history.read(hours, job)

    def fleet(self) -> Fleet:
        """Return the live entry VMs."""
        members = (FleetMember(vm.name, vm.control) for vm in self._fleet.live_vms(Role.ENTRY))
        return Fleet(tuple(members))
