"""Tests of the generated part of the capacity page."""

import json
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from emulator.capacity import MARKER, render

PAGE = Path('docs/CAPACITY.md')
SLOPES = Path('docs/slopes.json')


class CapacityPageTest(TestCase):
    """Every figure below the marker is computed from ``slopes.json``."""

    def test_page_follows_from_the_file(self) -> None:
        slopes = json.loads(SLOPES.read_text(encoding='utf-8'))
        parts = PAGE.read_text(encoding='utf-8').split(MARKER)
        self.assertThat(parts, HasLength(2))
        self.assertThat(parts[1].strip(), Equals(render(slopes).strip()))

    def test_every_slope_has_four_sizes_and_a_plot(self) -> None:
        slopes = json.loads(SLOPES.read_text(encoding='utf-8'))
        for name, entry in slopes.items():
            if name == 'in_force_s':
                continue
            with self.subTest(slope=name):
                self.assertThat(entry['sizes'], HasLength(4))
                self.assertTrue(Path(f'docs/slope-{name}.svg').exists())
