"""How many accelerators each team has used lately, against its share of them."""

from collections.abc import Mapping

__all__ = ["Team", "TeamUse"]

Team = tuple[str, str]

# Jobs take 2 to 10 s: what a team has used counts for about as long as its next job takes.
HALF_LIFE_S = 10.0


class TeamUse:
    """The decaying mean of the accelerators held by each team, by service and team.

    It is empty when a new owner begins, and holds again after a few half-lives.

    :param half_life_s: time after which past use counts half, in seconds.
    """

    def __init__(self, half_life_s: float = HALF_LIFE_S):
        self._half_life_s = half_life_s
        self._means: dict[Team, float] = {}
        self._updated_at: float | None = None

    def update(self, held: Mapping[Team, int], now: float) -> None:
        """Count the accelerators held since the last update.

        :param now: current time, in seconds.
        """
        elapsed_s = max(0.0, now - self._updated_at) if self._updated_at is not None else 0.0
        self._updated_at = now
        weight = 1.0 - 0.5 ** (elapsed_s / self._half_life_s)
        for team in self._means.keys() | held.keys():
            mean = self._means.get(team, 0.0)
            self._means[team] = mean + weight * (held.get(team, 0) - mean)

    def mean(self, team: Team) -> float:
        """Return the recent mean of the accelerators that a team held."""
        return self._means.get(team, 0.0)

    def relative_use(self, team: Team, held: int, share: float) -> float:
        """Return what a team uses against its share; 1.0 when it uses its share exactly.

        What it holds now counts as well as what it held lately, so that a burst counts at once.

        :param held: accelerators that it holds now, or would hold.
        :param share: accelerators that it is due.
        """
        return (self.mean(team) + held) / (2.0 * max(share, 1.0))
