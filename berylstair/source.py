"""Where records come from: the platform's service, or a directory."""

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
    """One answer of a source.

    Attributes:
        revision: Revision of the source after these records.
        texts: Records changed since the revision asked for.
    """

    revision: int
    texts: tuple[str, ...]


class ConfigurationSource(ABC):
    """A service that can be read and watched, never written."""

    @abstractmethod
    def read(self, after_revision: int, wait_s: float) -> SourceRead:
        """Reads the records changed after a revision.

        Args:
            after: Revision of the last read, 0 at first.
            wait_s: How long to wait for a change where there is none.

        Returns:
            The changed records, none where nothing changed.

        Raises:
            SourceError: The source cannot be read now.
        """


class MemorySource(ConfigurationSource):
    """Keeps records in memory, for tests."""

    def __init__(self) -> None:
        """Starts without records."""
        self.is_down = False
        self._texts: list[str] = []
        self._changed_event = Event()

    def publish(self, text: str) -> None:
        """Adds a record text."""
        self._texts.append(text)
        self._changed_event.set()

    def read(self, after_revision: int, wait_s: float) -> SourceRead:
        """Returns the texts published after the given count."""
        if self.is_down:
            raise SourceError('source is down')
        if after_revision >= len(self._texts):
            self._changed_event.clear()
            self._changed_event.wait(wait_s)
        return SourceRead(len(self._texts), tuple(self._texts[after_revision:]))


class DirectorySource(ConfigurationSource):
    """Reads ``*.json`` and ``*.jsonc`` files; the embedded default."""

    def __init__(self, path: Path) -> None:
        """Watches the files of one directory."""
        self._path = path
        self._mtime_and_size_by_file: dict[Path, tuple[int, int]] = {}
        self._revision = 0

    def read(self, after_revision: int, wait_s: float) -> SourceRead:
        """Returns the texts of files that are new or changed."""
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
    """Reads the platform's service over HTTP with a long-poll watch.

    ``GET URL/records?after=REVISION&wait_s=SECONDS`` answers
    ``{"revision": N, "records": ["...", ...]}``.
    """

    def __init__(self, url: str) -> None:
        """Uses the service at the given URL."""
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
            return SourceRead(int(loaded['revision']), tuple(map(str, loaded['records'])))
        except (URLError, HTTPException, OSError) as error:
            raise SourceError(str(error)) from error
        except (ValueError, KeyError, TypeError) as error:
            raise SourceError(f'bad answer: {error!r}') from error
