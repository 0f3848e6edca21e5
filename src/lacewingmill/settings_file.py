"""The settings file of a running VM, which the platform may change with or without a signal."""

from collections.abc import Callable
from pathlib import Path

from lacewingmill.exceptions import SettingsError
from lacewingmill.jobs.settings import JobVmSettings
from lacewingmill.ports import Clock

__all__ = ["LOOK_S", "SettingsFile", "SettingsFollower"]

# Settings change a few times a day at most, and have to be in force within seconds.
CHECK_INTERVAL_S = 2.0


class SettingsFile:
    """A settings file, and whether it has changed since it was last read.

    :param path: where the platform writes it.
    :param parse: reads and checks the settings at a path.
    """

    def __init__(self, path: Path, parse: Callable[[Path], JobVmSettings]):
        self._path = path
        self._parse = parse
        self._read = b""

    @property
    def changed(self) -> bool:
        """Whether the file holds something else than at the last :meth:`load`."""
        return self._content() != self._read

    def load(self) -> JobVmSettings:
        """Read and check the settings.

        :raises SettingsError: when they cannot be used.
        """
        # Taken first, so that a change while the settings are parsed is noticed later.
        self._read = self._content()
        return self._parse(self._path)

    def _content(self) -> bytes:
        """Return what the file holds; nothing when it cannot be read, which parsing reports."""
        try:
            return self._path.read_bytes()
        except OSError:
            return b""


class SettingsFollower:
    """Hands changed settings over.

    :param take: called with changed settings.
    :param refuse: called with the reason when they cannot be used.
    """

    def __init__(
        self,
        file: SettingsFile,
        clock: Clock,
        take: Callable[[JobVmSettings], None],
        refuse: Callable[[str], None],
    ):
        self._file = file
        self._clock = clock
        self._take = take
        self._refuse = refuse

    def run(self) -> None:
        """Look for changes for ever."""
        while True:
            self._clock.sleep(CHECK_INTERVAL_S)
            if self._file.changed:
                self.reload()

    def reload(self) -> None:
        """Read the settings now, changed or not."""
        try:
            self._take(self._file.load())
        except SettingsError as exc:
            self._refuse(exc.message)
