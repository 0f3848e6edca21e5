"""The configuration in force on this VM; its revision never decreases."""

from collections.abc import Callable

import attrs

from lacewingmill.catalogue.publisher import document_key
from lacewingmill.codec import decode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import CatalogueError, MessageInvalid
from lacewingmill.models import CatalogueIndex, Route, Service
from lacewingmill.ports import Store
from lacewingmill.store_keys import INDEX_KEY

__all__ = ["CatalogueBundle", "Configuration", "CurrentCatalogue", "RouteMatch"]


@attrs.frozen
class RouteMatch:
    """A route and the service it belongs to."""

    service: Service
    route: Route


@attrs.frozen
class CatalogueBundle:
    """A complete configuration: the index and the services it lists, in the same order.

    A VM fetches it from a peer whose heartbeat reports a higher revision.
    """

    index: CatalogueIndex
    services: tuple[Service, ...]


@attrs.frozen
class Configuration:
    """A revision of the configuration with its routes by path."""

    bundle: CatalogueBundle
    routes: dict[str, RouteMatch]

    @property
    def revision(self) -> int:
        """The revision of the index."""
        return self.bundle.index.revision

    @property
    def services(self) -> tuple[Service, ...]:
        """The services of this revision."""
        return self.bundle.services


class CurrentCatalogue:
    """Holds the configuration in force: the one with the highest revision seen so far.

    :param on_change: called with each new configuration.
    """

    def __init__(self, store: Store, log: EventLog, on_change: Callable[[Configuration], None]):
        self._store = store
        self._log = log
        self._on_change = on_change
        self._services_by_digest: dict[str, Service] = {}
        self.configuration = _build_configuration(CatalogueBundle(CatalogueIndex(), ()))

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.revision

    def refresh(self) -> None:
        """Read the index from the store and, if its revision is higher, the documents that are new.

        :raises StoreUnavailable: when the store does not answer.
        """
        entry = self._store.get(INDEX_KEY)
        if entry is None:
            return
        try:
            index = decode(entry.value, CatalogueIndex)
            if index.revision <= self.revision:
                return
            services = tuple(self._read_service(item.digest) for item in index.entries)
        except (CatalogueError, MessageInvalid) as exc:
            self._log.emit(LogEvent.CATALOGUE_UNREADABLE, reason=str(exc))
            return
        self.apply_if_newer(CatalogueBundle(index, services))

    def apply_if_newer(self, bundle: CatalogueBundle) -> bool:
        """Put a configuration in force if its revision is higher than the current one.

        :return: whether it was put in force.
        """
        if bundle.index.revision <= self.revision:
            return False
        self.configuration = _build_configuration(bundle)
        self._services_by_digest = {
            entry.digest: service
            for entry, service in zip(bundle.index.entries, bundle.services, strict=True)
        }
        self._log.emit(LogEvent.CATALOGUE_IN_FORCE, revision=bundle.index.revision)
        self._on_change(self.configuration)
        return True

    def _read_service(self, digest: str) -> Service:
        cached = self._services_by_digest.get(digest)
        if cached is not None:
            return cached
        entry = self._store.get(document_key(digest))
        if entry is None:
            raise CatalogueError(f"document {digest} does not exist in the store", step="read")
        return decode(entry.value, Service)


def _build_configuration(bundle: CatalogueBundle) -> Configuration:
    routes = {
        route.path: RouteMatch(service, route)
        for service in bundle.services
        for route in service.routes
    }
    return Configuration(bundle, routes)
