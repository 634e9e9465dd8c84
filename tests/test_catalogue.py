"""Tests of the catalogue of log events."""

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from berylstair.catalogue import LogEvent

PACKAGE = Path('berylstair')


class CatalogueTest(TestCase):
    """Code and docs list the same events, and the code writes each of them."""

    def test_docs_and_code_agree(self) -> None:
        text = Path('docs/EVENTS.md').read_text(encoding='utf-8')
        documented_events = {
            (int(number), name) for number, name in re.findall(r'\| E(\d+) (\w+) \|', text)
        }
        defined_events = {(event.value, event.name.lower()) for event in LogEvent}
        self.assertThat(documented_events, Equals(defined_events))

    def test_every_event_is_written_somewhere(self) -> None:
        texts = [
            path.read_text(encoding='utf-8')
            for path in PACKAGE.glob('*.py')
            if path.name not in {'catalogue.py', 'log.py'}
        ]
        unused = [
            event.name
            for event in LogEvent
            if not any(f'LogEvent.{event.name}' in text for text in texts)
        ]
        self.assertThat(unused, Equals([]))
