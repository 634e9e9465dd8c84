"""Configuration sources, from which records are read: HTTP service, directory, memory."""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from http.client import HTTPException
from pathlib import Path
from threading import Event
from urllib.error import URLError
from urllib.parse import urlencode
from urllib.request import urlopen

from berylstair.errors import SourceError

__all__ = [
    'ConfigurationSource',
    'DirectorySource',
    'HttpSource',
    'MemorySource',
    'SourceRead',
]

_TIMEOUT_MARGIN_S = 2.0
_POLL_INTERVAL_S = 0.25
_MAX_RESPONSE_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class SourceRead:
    """Result of one read of a source.

    Attributes:
        revision: Revision of the source after these records.
        texts: Texts of the records changed after the requested revision.
        era: Rises when the source is restored from a copy and gives out
            revisions again; 0 if the source does not tell.
    """

    revision: int
    texts: tuple[str, ...]
    era: int = 0


class ConfigurationSource(ABC):
    """A source of records that can be read and watched, but not written."""

    @abstractmethod
    def read(self, after_revision: int, wait_s: float) -> SourceRead:
        """Reads the records changed after a revision.

        Args:
            after_revision: Revision of the last read; 0 for the first read.
            wait_s: Seconds to wait for a change if there is none yet.

        Returns:
            The changed records; none if nothing changed in that time.

        Raises:
            SourceError: The source is unreachable or its content unreadable.
        """


class MemorySource(ConfigurationSource):
    """Keeps records in memory, for tests."""

    def __init__(self) -> None:
        """Sets up an empty source."""
        self.is_down = False
        self._texts: list[str] = []
        self._changed_event = Event()

    def publish(self, text: str) -> None:
        """Appends a record text and wakes waiting readers."""
        self._texts.append(text)
        self._changed_event.set()

    def read(self, after_revision: int, wait_s: float) -> SourceRead:
        """Returns the texts published after the first ``after_revision`` ones."""
        if self.is_down:
            raise SourceError('configuration source is down')
        if after_revision >= len(self._texts):
            self._changed_event.clear()
            self._changed_event.wait(wait_s)
        return SourceRead(len(self._texts), tuple(self._texts[after_revision:]))


class DirectorySource(ConfigurationSource):
    """Reads the ``*.json`` and ``*.jsonc`` files of a directory; needs no outside service."""

    def __init__(self, path: Path) -> None:
        """Sets the directory to watch; its files are polled for changes."""
        self._path = path
        self._mtime_and_size_by_file: dict[Path, tuple[int, int]] = {}
        self._revision = 0

    def read(self, after_revision: int, wait_s: float) -> SourceRead:
        """Returns the texts of files that are new or changed since the last read."""
        never_set = Event()
        waited_s = 0.0
        changed_files = self._find_changed_files()
        while not changed_files and waited_s < wait_s:
            never_set.wait(_POLL_INTERVAL_S)
            waited_s += _POLL_INTERVAL_S
            changed_files = self._find_changed_files()
        try:
            texts = tuple(file.read_text(encoding='utf-8') for file in changed_files)
        except (OSError, UnicodeDecodeError) as error:
            raise SourceError(str(error)) from error
        self._revision += len(texts)
        return SourceRead(self._revision, texts)

    def _find_changed_files(self) -> list[Path]:
        changed_files = []
        try:
            for file in sorted(self._path.iterdir()):
                if file.suffix in {'.json', '.jsonc'} and self._detect_change(file):
                    changed_files.append(file)
        except OSError as error:
            raise SourceError(str(error)) from error
        return changed_files

    def _detect_change(self, file: Path) -> bool:
        stat = file.stat()
        mtime_and_size = (stat.st_mtime_ns, stat.st_size)
        if self._mtime_and_size_by_file.get(file) == mtime_and_size:
            return False
        self._mtime_and_size_by_file[file] = mtime_and_size
        return True


class HttpSource(ConfigurationSource):
    """Reads the platform's configuration service over HTTP, with long polling.

    ``GET URL/records?after=REVISION&wait_s=SECONDS`` returns
    ``{"era": N, "revision": N, "records": ["...", ...]}``; ``era`` is optional.
    """

    def __init__(self, url: str) -> None:
        """Sets the base URL of the service."""
        self._url = url.rstrip('/')

    def read(self, after_revision: int, wait_s: float) -> SourceRead:
        """Returns the records changed after the revision."""
        query = urlencode({'after': after_revision, 'wait_s': wait_s})
        try:
            with urlopen(
                f'{self._url}/records?{query}',
                timeout=wait_s + _TIMEOUT_MARGIN_S,
            ) as response:
                loaded = json.loads(response.read(_MAX_RESPONSE_BYTES))
            return SourceRead(
                int(loaded['revision']),
                tuple(map(str, loaded['records'])),
                int(loaded.get('era', 0)),
            )
        except (URLError, HTTPException, OSError) as error:
            raise SourceError(str(error)) from error
        except (ValueError, KeyError, TypeError) as error:
            raise SourceError(f'invalid response from the service: {error!r}') from error
