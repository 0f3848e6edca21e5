"""The configuration in force on this VM: it only ever moves to a higher revision."""

from collections.abc import Callable

import attrs
import msgspec

from lacewingmill.catalogue.publisher import document_key
from lacewingmill.codec import decode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import CatalogueError
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
    """A whole configuration, as one VM gives it to another."""

    index: CatalogueIndex
    services: tuple[Service, ...]


@attrs.frozen
class Configuration:
    """A revision with its services."""

    bundle: CatalogueBundle
    routes: dict[str, RouteMatch]

    @property
    def revision(self) -> int:
        """The catalogue revision."""
        return self.bundle.index.revision

    @property
    def services(self) -> tuple[Service, ...]:
        """The services in force."""
        return self.bundle.services


class CurrentCatalogue:
    """Keeps the highest revision seen in force.

    :param changed: called with each new configuration.
    """

    def __init__(self, store: Store, log: EventLog, changed: Callable[[Configuration], None]):
        self._store = store
        self._log = log
        self._changed = changed
        self._documents: dict[str, Service] = {}
        self.configuration = _configure(CatalogueBundle(CatalogueIndex(), ()))

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.revision

    def refresh(self) -> None:
        """Read the index from the store, and the documents that are new.

        :raises StoreUnavailable: when the store does not answer.
        """
        entry = self._store.get(INDEX_KEY)
        if entry is None:
            return
        index = decode(entry.value, CatalogueIndex)
        if index.revision <= self.revision:
            return
        try:
            services = tuple(self._read_service(item.digest) for item in index.entries)
        except (CatalogueError, msgspec.MsgspecError) as exc:
            self._log.emit(LogEvent.CATALOGUE_UNREADABLE, reason=str(exc))
            return
        self.apply_if_newer(CatalogueBundle(index, services))

    def apply_if_newer(self, bundle: CatalogueBundle) -> bool:
        """Put a configuration in force if its revision is higher; return whether it was."""
        if bundle.index.revision <= self.revision:
            return False
        self.configuration = _configure(bundle)
        self._documents = {
            entry.digest: service
            for entry, service in zip(bundle.index.entries, bundle.services, strict=True)
        }
        self._log.emit(LogEvent.CATALOGUE_IN_FORCE, revision=bundle.index.revision)
        self._changed(self.configuration)
        return True

    def _read_service(self, digest: str) -> Service:
        known = self._documents.get(digest)
        if known is not None:
            return known
        entry = self._store.get(document_key(digest))
        if entry is None:
            raise CatalogueError(f"document {digest} is missing", step="read")
        return decode(entry.value, Service)


def _configure(bundle: CatalogueBundle) -> Configuration:
    routes = {
        route.path: RouteMatch(service, route)
        for service in bundle.services
        for route in service.routes
    }
    return Configuration(bundle, routes)
