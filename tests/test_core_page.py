"""Tests of the example and the tables of ``docs/CORE.md``."""

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains

from berylstair import action, event

PAGE = Path('docs/CORE.md')


class CorePageTest(TestCase):
    """The page's example runs, and its tables list every event and action."""

    def test_example(self) -> None:
        (code,) = re.findall(r'```python\n(.*?)```', PAGE.read_text(encoding='utf-8'), re.DOTALL)
        exec(compile(code, str(PAGE), 'exec'), {})  # noqa: S102, WPS421 runs the page's own code

    def test_every_event_and_action_is_listed(self) -> None:
        text = PAGE.read_text(encoding='utf-8')
        for name in {*event.__all__, *action.__all__} - {'Event', 'Action'}:
            self.assertThat(text, Contains(f'`{name}('))
