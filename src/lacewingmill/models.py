"""The data of the domain: shapes, teams, routes, fleet members and fences.

All classes are immutable ``attrs`` classes, so that they can be shared between greenlets, encoded
by :mod:`lacewingmill.codec` and used as keys.
"""

import enum

import attrs

__all__ = [
    "Adjacency",
    "CatalogueIndex",
    "Fence",
    "Guarantee",
    "IndexEntry",
    "OwnerRecord",
    "Outcome",
    "Role",
    "Route",
    "RouteKind",
    "Service",
    "Shape",
    "Team",
    "Vm",
    "VmState",
]


class Adjacency(enum.Enum):
    """How near to each other the accelerators of a gang must be."""

    WORKER = "worker"
    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"
    CLUSTER = "cluster"


class RouteKind(enum.Enum):
    """Who answers the requests of a route."""

    ORDINARY = "ordinary"
    JOB = "job"


class Outcome(enum.Enum):
    """What is known about a piece of work once its caller is answered."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Role(enum.Enum):
    """What a VM of the platform's list is there for."""

    ENTRY = "entry"
    EXECUTOR = "executor"
    WORKER = "worker"


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Shape:
    """What one gang needs.

    :param name: name within the service.
    :param accelerators: accelerators of the whole gang.
    :param adjacency: the block that must hold the whole gang.
    :param processors: processor cores per member.
    :param memory_gb: memory per member, in gigabytes.
    :param expected_s: declared run time, in seconds; only a prior for learning.
    :param members: parts that each stay on one worker; 0 for one member per accelerator.
    """

    name: str
    accelerators: int
    adjacency: Adjacency = Adjacency.WORKER
    processors: float = 1.0
    memory_gb: float = 1.0
    expected_s: float = 60.0
    members: int = 0

    @property
    def units(self) -> int:
        """Number of members of the gang."""
        return self.members or self.accelerators

    @property
    def unit_accelerators(self) -> int:
        """Accelerators of one member."""
        return self.accelerators // self.members if self.members else 1


@attrs.frozen
class Guarantee:
    """A number of gangs of one shape that a team may claim at any time."""

    shape: str
    count: int


@attrs.frozen
class Team:
    """A team of a service.

    :param guarantees: what the team can always reclaim.
    :param max_accelerators: most accelerators the team may hold at once; 0 for no limit.
    :param max_queued: most requests of the team that may wait at one VM.
    :param share: weight in fair queueing.
    """

    name: str
    guarantees: tuple[Guarantee, ...] = ()
    max_accelerators: int = 0
    max_queued: int = 200
    share: float = 1.0


@attrs.frozen
class Route:
    """A path prefix of a service and how its requests are served.

    :param path: exact path, beginning with a slash.
    :param shape: name of the gang's shape; empty for ordinary routes.
    :param idempotent: whether a request may safely run twice.
    :param checkpoint: whether a gang can be stopped and resumed without losing its work.
    :param claims: whether requests claim the team's guarantee when one is open.
    :param deadline_s: longest time a caller waits, in seconds.
    """

    path: str
    kind: RouteKind
    shape: str = ""
    idempotent: bool = False
    checkpoint: bool = False
    claims: bool = True
    deadline_s: float = 30.0


@attrs.frozen
class Service:
    """One checked service file."""

    name: str
    teams: tuple[Team, ...]
    shapes: tuple[Shape, ...]
    routes: tuple[Route, ...]

    def shape(self, name: str) -> Shape:
        """Return the shape of that name.

        :raises KeyError: when the service has no such shape.
        """
        for shape in self.shapes:
            if shape.name == name:
                return shape
        raise KeyError(name)

    def team(self, name: str) -> Team | None:
        """Return the team of that name, or ``None``."""
        for team in self.teams:
            if team.name == name:
                return team
        return None


@attrs.frozen
class IndexEntry:
    """A service in the catalogue's index and the digest that names its document."""

    service: str
    digest: str


@attrs.frozen
class CatalogueIndex:
    """The small document whose compare-and-swap is the acceptance of a publication.

    :param revision: rises by one with each acceptance; 0 before the first.
    :param write_id: unique per attempt, so that a lost answer can be settled by reading.
    :param base: the revision it replaced.
    :param by: the operator.
    :param at: wall-clock time of the publication, in seconds since the epoch.
    :param changes: one line a change.
    """

    revision: int = 0
    write_id: str = ""
    base: int = 0
    by: str = ""
    at: float = 0.0
    entries: tuple[IndexEntry, ...] = ()
    changes: tuple[str, ...] = ()


@attrs.frozen
class Vm:
    """A VM of the platform's list.

    :param address: ``host:port`` of its service.
    :param control: ``host:port`` for other entry VMs; empty for other roles.
    :param service: which service an executor answers; empty for other roles.
    :param accelerators: number of accelerators of a worker.
    :param processors: processor cores of a worker.
    :param memory_gb: memory of a worker, in gigabytes.
    """

    name: str
    role: Role
    address: str
    failure_domain: str
    state: VmState = VmState.LIVE
    control: str = ""
    service: str = ""
    rack: str = ""
    accelerators: int = 0
    processors: float = 0.0
    memory_gb: float = 0.0


@attrs.frozen(order=True)
class Fence:
    """Orders the owners of a cell; a worker refuses orders under a lower one.

    :param epoch: rises with each election in the store.
    :param attempt: rises with each succession while the store is away.
    """

    epoch: int = 0
    attempt: int = 0


@attrs.frozen
class OwnerRecord:
    """Who owns a cell."""

    vm: str
    control: str
    fence: Fence
