"""Loading and validation of service files: the YAML files next to the code of each service."""

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
    """A shape as written in a service file."""

    accelerators: int
    adjacency: str = "worker"
    processors: float = 1.0
    memory: str = "1 GB"
    expected: str = "1 min"


@attrs.frozen
class _TeamDocument:
    """A team as written in a service file."""

    guarantees: dict[str, int] = attrs.field(factory=dict)
    max_accelerators: int = 0
    max_queued: int = 200
    share: float = 1.0


@attrs.frozen
class _RouteDocument:
    """A route as written in a service file."""

    kind: str
    idempotent: bool
    shape: str = ""
    checkpoint: bool = False
    claims: bool = True
    deadline: str = "30 s"


@attrs.frozen
class _ServiceDocument:
    """A service file."""

    service: str
    teams: dict[str, _TeamDocument]
    routes: dict[str, _RouteDocument]
    shapes: dict[str, _ShapeDocument] = attrs.field(factory=dict)


class _DocumentConverter:
    """Converts one document to a service and collects its errors with their key paths."""

    def __init__(self, path: Path):
        self._path = path
        self.findings: list[str] = []

    def add_finding(self, key_path: str, message: str) -> None:
        self.findings.append(f"{self._path}: {key_path}: {message}")

    def convert(self, document: _ServiceDocument) -> Service:
        if not document.service:
            self.add_finding("service", "must not be empty")
        shapes = tuple(self._convert_shape(name, raw) for name, raw in document.shapes.items())
        shape_names = frozenset(document.shapes)
        teams = tuple(
            self._convert_team(name, raw, shape_names) for name, raw in document.teams.items()
        )
        routes = tuple(
            self._convert_route(path, raw, shape_names) for path, raw in document.routes.items()
        )
        if not teams:
            self.add_finding("teams", "at least one team is required")
        if not routes:
            self.add_finding("routes", "at least one route is required")
        return Service(document.service, teams, shapes, routes)

    def _convert_shape(self, name: str, raw: _ShapeDocument) -> Shape:
        key_path = f"shapes.{name}"
        if raw.accelerators < 1:
            self.add_finding(f"{key_path}.accelerators", "must be 1 or more")
        if raw.processors < 0:
            self.add_finding(f"{key_path}.processors", "must not be negative")
        return Shape(
            name,
            raw.accelerators,
            self._parse_choice(f"{key_path}.adjacency", raw.adjacency, Adjacency, Adjacency.WORKER),
            raw.processors,
            self._parse_quantity(f"{key_path}.memory", raw.memory, parse_memory_gb),
            self._parse_quantity(f"{key_path}.expected", raw.expected, parse_duration_s),
        )

    def _convert_team(self, name: str, raw: _TeamDocument, shape_names: frozenset[str]) -> Team:
        key_path = f"teams.{name}"
        for shape, count in raw.guarantees.items():
            if shape not in shape_names:
                self.add_finding(f"{key_path}.guarantees.{shape}", "no such shape in this file")
            if count < 1:
                self.add_finding(f"{key_path}.guarantees.{shape}", "must be 1 or more")
        if raw.max_queued < 1:
            self.add_finding(f"{key_path}.max_queued", "must be 1 or more")
        if raw.max_accelerators < 0:
            self.add_finding(
                f"{key_path}.max_accelerators", "must not be negative; 0 means no limit"
            )
        if raw.share <= 0:
            self.add_finding(f"{key_path}.share", "must be greater than 0")
        guarantees = tuple(Guarantee(shape, count) for shape, count in raw.guarantees.items())
        return Team(name, guarantees, raw.max_accelerators, raw.max_queued, raw.share)

    def _convert_route(self, path: str, raw: _RouteDocument, shape_names: frozenset[str]) -> Route:
        key_path = f"routes.{path}"
        if not path.startswith("/"):
            self.add_finding(key_path, "must begin with a slash")
        if path.startswith(("/jobs", "/live", "/ready")):
            self.add_finding(key_path, "this path is reserved for lacewingmill")
        kind = self._parse_choice(f"{key_path}.kind", raw.kind, RouteKind, RouteKind.ORDINARY)
        if kind is RouteKind.JOB and raw.shape not in shape_names:
            self.add_finding(f"{key_path}.shape", f"no such shape in this file: {raw.shape!r}")
        if raw.kind == RouteKind.ORDINARY.value and raw.shape:
            self.add_finding(f"{key_path}.shape", "an ordinary route has no shape")
        deadline_s = self._parse_quantity(f"{key_path}.deadline", raw.deadline, parse_duration_s)
        return Route(path, kind, raw.shape, raw.idempotent, raw.checkpoint, raw.claims, deadline_s)

    def _parse_choice(self, key_path: str, text: str, enum_class, default):
        try:
            return enum_class(text)
        except ValueError:
            allowed = ", ".join(item.value for item in enum_class)
            self.add_finding(key_path, f"expected one of {allowed}; found {text!r}")
            return default

    def _parse_quantity(self, key_path: str, text: str, parse) -> float:
        try:
            return parse(text)
        except ValueError as exc:
            self.add_finding(key_path, str(exc))
            return 1.0


def load_services(directory: Path) -> tuple[Service, ...]:
    """Load and validate all service files under a directory.

    :raises DocumentInvalid: with one message per error, each with file and key path.
    """
    paths = sorted(directory.rglob(FILE_PATTERN))
    if not paths:
        raise DocumentInvalid([f"{directory}: no service files named {FILE_PATTERN}"])
    findings: list[str] = []
    services = []
    for path in paths:
        service, file_findings = _load_service(path)
        findings.extend(file_findings)
        if service is not None:
            services.append(service)
    findings.extend(check_services(tuple(services)))
    if findings:
        raise DocumentInvalid(findings)
    return tuple(services)


def _load_service(path: Path) -> tuple[Service | None, list[str]]:
    content, findings = read_yaml(path)
    if findings:
        return None, findings
    document, findings = structure_document(content, _ServiceDocument, path)
    if document is None:
        return None, findings
    converter = _DocumentConverter(path)
    service = converter.convert(document)
    if converter.findings:
        return None, converter.findings
    return service, []


def check_services(services: tuple[Service, ...]) -> list[str]:
    """Find conflicts between services.

    :return: one message per conflict.
    """
    findings = []
    service_names: set[str] = set()
    service_by_path: dict[str, str] = {}
    for service in services:
        if service.name in service_names:
            findings.append(f"service {service.name}: is defined in two files")
        service_names.add(service.name)
        for route in service.routes:
            other = service_by_path.setdefault(route.path, service.name)
            if other != service.name:
                findings.append(
                    f"service {service.name}: routes.{route.path}: overlaps a route of {other}"
                )
    return findings
