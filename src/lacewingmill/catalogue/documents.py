"""Service files: the short YAML files beside each service's code, and their checks."""

from pathlib import Path

import attrs

from lacewingmill.exceptions import DocumentInvalid
from lacewingmill.models import Adjacency, Guarantee, Route, RouteKind, Service, Shape, Team
from lacewingmill.yaml_files import (
    parse_duration_s,
    parse_memory_gb,
    read_yaml,
    structure_document,
)

__all__ = ["FILE_PATTERN", "check_services", "load_services"]

FILE_PATTERN = "*lacewingmill.yaml"


@attrs.frozen
class _ShapeDocument:
    accelerators: int
    adjacency: str = "worker"
    processors: float = 1.0
    memory: str = "1 GB"
    expected: str = "1 min"


@attrs.frozen
class _TeamDocument:
    guarantees: dict[str, int] = attrs.field(factory=dict)
    max_accelerators: int = 0
    max_queued: int = 200
    share: float = 1.0


@attrs.frozen
class _RouteDocument:
    kind: str
    idempotent: bool
    shape: str = ""
    checkpoint: bool = False
    claims: bool = True
    deadline: str = "30 s"


@attrs.frozen
class _ServiceDocument:
    service: str
    teams: dict[str, _TeamDocument]
    routes: dict[str, _RouteDocument]
    shapes: dict[str, _ShapeDocument] = attrs.field(factory=dict)


class _Checker:
    """Turns one document into a service, collecting faults by key path."""

    def __init__(self, path: Path):
        self._path = path
        self.findings: list[str] = []

    def fault(self, where: str, message: str) -> None:
        self.findings.append(f"{self._path}: {where}: {message}")

    def service(self, document: _ServiceDocument) -> Service:
        if not document.service:
            self.fault("service", "must not be empty")
        shapes = tuple(self._shape(name, raw) for name, raw in document.shapes.items())
        names = frozenset(document.shapes)
        teams = tuple(self._team(name, raw, names) for name, raw in document.teams.items())
        routes = tuple(self._route(path, raw, names) for path, raw in document.routes.items())
        if not teams:
            self.fault("teams", "at least one team is needed")
        if not routes:
            self.fault("routes", "at least one route is needed")
        return Service(document.service, teams, shapes, routes)

    def _shape(self, name: str, raw: _ShapeDocument) -> Shape:
        where = f"shapes.{name}"
        if raw.accelerators < 1:
            self.fault(f"{where}.accelerators", "must be 1 or more")
        if raw.processors < 0:
            self.fault(f"{where}.processors", "must not be negative")
        return Shape(
            name,
            raw.accelerators,
            self._choice(f"{where}.adjacency", raw.adjacency, Adjacency, Adjacency.WORKER),
            raw.processors,
            self._quantity(f"{where}.memory", raw.memory, parse_memory_gb),
            self._quantity(f"{where}.expected", raw.expected, parse_duration_s),
        )

    def _team(self, name: str, raw: _TeamDocument, shapes: frozenset[str]) -> Team:
        where = f"teams.{name}"
        for shape, count in raw.guarantees.items():
            if shape not in shapes:
                self.fault(f"{where}.guarantees.{shape}", "no such shape in this file")
            if count < 1:
                self.fault(f"{where}.guarantees.{shape}", "must be 1 or more")
        if raw.max_queued < 1:
            self.fault(f"{where}.max_queued", "must be 1 or more")
        if raw.max_accelerators < 0:
            self.fault(f"{where}.max_accelerators", "must not be negative; 0 means no limit")
        if raw.share <= 0:
            self.fault(f"{where}.share", "must be more than 0")
        guarantees = tuple(Guarantee(shape, count) for shape, count in raw.guarantees.items())
        return Team(name, guarantees, raw.max_accelerators, raw.max_queued, raw.share)

    def _route(self, path: str, raw: _RouteDocument, shapes: frozenset[str]) -> Route:
        where = f"routes.{path}"
        if not path.startswith("/"):
            self.fault(where, "a path begins with a slash")
        if path.startswith(("/jobs", "/live", "/ready")):
            self.fault(where, "this path belongs to lacewingmill itself")
        kind = self._choice(f"{where}.kind", raw.kind, RouteKind, RouteKind.ORDINARY)
        if kind is RouteKind.JOB and raw.shape not in shapes:
            self.fault(f"{where}.shape", f"no such shape in this file: {raw.shape!r}")
        if raw.kind == RouteKind.ORDINARY.value and raw.shape:
            self.fault(f"{where}.shape", "an ordinary route has no shape")
        deadline_s = self._quantity(f"{where}.deadline", raw.deadline, parse_duration_s)
        return Route(path, kind, raw.shape, raw.idempotent, raw.checkpoint, raw.claims, deadline_s)

    def _choice(self, where: str, text: str, kind, default):
        try:
            return kind(text)
        except ValueError:
            allowed = ", ".join(item.value for item in kind)
            self.fault(where, f"expected one of {allowed}; found {text!r}")
            return default

    def _quantity(self, where: str, text: str, parse) -> float:
        try:
            return parse(text)
        except ValueError as exc:
            self.fault(where, str(exc))
            return 1.0


def load_services(directory: Path) -> tuple[Service, ...]:
    """Read and check all service files under a directory.

    :raises DocumentInvalid: with one message a fault, each with file and key path.
    """
    paths = sorted(directory.rglob(FILE_PATTERN))
    if not paths:
        raise DocumentInvalid([f"{directory}: no service files named {FILE_PATTERN}"])
    findings: list[str] = []
    services = []
    for path in paths:
        service, faults = _load_service(path)
        findings.extend(faults)
        if service is not None:
            services.append(service)
    findings.extend(check_services(tuple(services)))
    if findings:
        raise DocumentInvalid(findings)
    return tuple(services)


def _load_service(path: Path) -> tuple[Service | None, list[str]]:
    content, faults = read_yaml(path)
    if faults:
        return None, faults
    document, faults = structure_document(content, _ServiceDocument, path)
    if document is None:
        return None, faults
    checker = _Checker(path)
    service = checker.service(document)
    if checker.findings:
        return None, checker.findings
    return service, []


def check_services(services: tuple[Service, ...]) -> list[str]:
    """Check what only shows across services; return one message a fault."""
    findings = []
    names: set[str] = set()
    paths: dict[str, str] = {}
    for service in services:
        if service.name in names:
            findings.append(f"service {service.name}: is described by two files")
        names.add(service.name)
        for route in service.routes:
            other = paths.setdefault(route.path, service.name)
            if other != service.name:
                findings.append(
                    f"service {service.name}: routes.{route.path}: overlaps a route of {other}"
                )
    return findings
