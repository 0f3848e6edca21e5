"""Domain model: shapes, teams, routes, VMs and fencing tokens.

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
    """How close to each other the accelerators of a gang must be."""

    WORKER = "worker"
    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"
    CLUSTER = "cluster"


class RouteKind(enum.Enum):
    """Whether an executor or a gang of accelerators serves the requests of a route."""

    ORDINARY = "ordinary"
    JOB = "job"


class Outcome(enum.Enum):
    """What is known about the work of a request when its client gets a response."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Role(enum.Enum):
    """The role of a VM in the platform's list."""

    ENTRY = "entry"
    EXECUTOR = "executor"
    WORKER = "worker"


class VmState(enum.Enum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Shape:
    """The resources that a gang needs.

    :param name: name of the shape, unique within the service.
    :param accelerators: accelerators of the whole gang.
    :param adjacency: the kind of block in which the whole gang must be placed.
    :param processors: processor cores per member.
    :param memory_gb: memory per member, in gigabytes.
    :param expected_s: declared run time, in seconds; the prior of the learned run time.
    :param members: number of members, each of which runs on one worker; 0 for one member per
        accelerator.
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
    """The number of gangs of a shape that a team may claim at any time."""

    shape: str
    count: int


@attrs.frozen
class Team:
    """A team of a service.

    :param guarantees: gangs that the team can reclaim from others at any time.
    :param max_accelerators: limit of the accelerators that the team holds at once; 0 for none.
    :param max_queued: limit of the team's requests that wait at one VM.
    :param share: weight of the team in fair queueing.
    """

    name: str
    guarantees: tuple[Guarantee, ...] = ()
    max_accelerators: int = 0
    max_queued: int = 200
    share: float = 1.0


@attrs.frozen
class Route:
    """A path of a service and how its requests are served.

    :param path: exact path, beginning with a slash.
    :param kind: who serves the requests.
    :param shape: name of the gang's shape; empty for ordinary routes.
    :param idempotent: whether a request may safely run twice.
    :param checkpoint: whether a gang can save its work, to be stopped and resumed.
    :param claims: whether jobs may claim an unclaimed guarantee of the team.
    :param deadline_s: longest time that a client waits for the response, in seconds.
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
    """A service, read from a valid service file."""

    name: str
    teams: tuple[Team, ...]
    shapes: tuple[Shape, ...]
    routes: tuple[Route, ...]

    def shape(self, name: str) -> Shape:
        """Return the shape with a name.

        :raises KeyError: when the service has no such shape.
        """
        for shape in self.shapes:
            if shape.name == name:
                return shape
        raise KeyError(name)

    def team(self, name: str) -> Team | None:
        """Return the team with a name, or ``None``."""
        for team in self.teams:
            if team.name == name:
                return team
        return None


@attrs.frozen
class IndexEntry:
    """A service in the catalogue's index, with the digest under which its document is stored."""

    service: str
    digest: str


@attrs.frozen
class CatalogueIndex:
    """The index of the catalogue; a compare-and-swap of it puts a publication in force.

    :param revision: incremented by each publication; 0 before the first.
    :param write_id: unique per publication, so that a read shows whether a write without a
        response took effect.
    :param base: the revision that it replaced.
    :param by: name of the operator.
    :param at: wall-clock time of the publication, in seconds since the epoch.
    :param entries: the services.
    :param changes: one line per change.
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

    :param address: ``host:port`` at which it accepts requests or orders.
    :param control: ``host:port`` for other entry VMs; empty for other roles.
    :param service: name of the service that an executor runs; empty for other roles.
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
    """Fencing token of a cell's owner; a worker refuses orders with a lower one than it has seen.

    :param epoch: incremented by each election in the store.
    :param attempt: incremented by each takeover while the store is unavailable.
    """

    epoch: int = 0
    attempt: int = 0


@attrs.frozen
class OwnerRecord:
    """The owner of a cell.

    :param vm: name of the owner.
    :param control: ``host:port`` of the owner for other entry VMs.
    """

    vm: str
    control: str
    fence: Fence
