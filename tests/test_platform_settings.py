"""Tests of the decoding of the settings file that the platform writes."""

import json
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, Equals

from berylstair.errors import ConfigurationError
from berylstair.ids import Endpoint
from berylstair.platform.settings import load_platform_settings
from berylstair.steering_settings import ColdLimit

VALID_SETTINGS: dict[str, Any] = {
    'node_id': 'front-tame-side-1',
    'ip': '10.1.0.10',
    'zone': 'tame-side',
    'zones': {'tame-side': 'midlands-west', 'avon-side': 'midlands-west'},
    'listen': {'datagram_addr': '10.1.0.10:8172', 'ready': '10.1.0.10:8167'},
    'internal_ports': [7720, 7735],
    'seeds': ['10.1.0.10:8166', '10.2.0.40:8166'],
    'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300, 'link_mbps': 1000.0},
    'heartbeat_ms': 1200,
    'bounds': {'drain_ms': 3000, 'config_apply_ms': 3000, 'grace_s': 6, 'max_flow_s': 60},
    'platform': {'address': '10.200.1.7:8169'},
    'unknown': 'ignored',
}


def load(content: Any) -> Any:
    """Loads settings from a file with the given content."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_text(json.dumps(content), encoding='utf-8')
        return load_platform_settings(path)


class SettingsTest(TestCase):
    """Valid fields are decoded, missing or invalid ones are refused."""

    def test_valid_settings(self) -> None:
        settings = load(VALID_SETTINGS)
        self.assertThat(settings.peer_endpoint, Equals(Endpoint('10.1.0.10', 7720)))
        self.assertThat(settings.caller_port, Equals(8172))
        seeds = (Endpoint('10.1.0.10', 7720), Endpoint('10.2.0.40', 7720))
        self.assertThat(settings.seeds, Equals(seeds))
        self.assertThat(round(settings.capacity.cores, 3), Equals(1.074))
        self.assertThat(round(settings.time_limits.entry_expiry_s, 3), Equals(3.6))

    def test_the_bound_for_evacuations_is_optional_and_counts_for_the_propagation(self) -> None:
        # Guards against a directory that is read too seldom for a short bound.
        for evacuation_ms, evacuation_s, propagation_s in (
            (None, None, 3.0),
            (5000, 5.0, 3.0),
            (800, 0.8, 0.8),
        ):
            bounds = VALID_SETTINGS['bounds'] | {'evac_ms': evacuation_ms}
            limits = load(VALID_SETTINGS | {'bounds': bounds}).time_limits
            self.assertThat(limits.evacuation_s, Equals(evacuation_s))
            self.assertThat(limits.propagation_s, Equals(propagation_s))
        self.assertThat(load(VALID_SETTINGS).time_limits.evacuation_s, Equals(None))
        bounds = VALID_SETTINGS['bounds'] | {'evac_ms': 'soon'}
        self.assertRaises(ConfigurationError, load, VALID_SETTINGS | {'bounds': bounds})

    def test_errors_name_the_field(self) -> None:
        for key in ('node_id', 'ip', 'zone', 'listen', 'internal_ports', 'bounds', 'platform'):
            partial = {name: VALID_SETTINGS[name] for name in VALID_SETTINGS if name != key}
            error = self.assertRaises(ConfigurationError, load, partial)
            self.assertThat(key in str(error), Equals(True))
        for broken in ({'internal_ports': []}, {'ip': 5}, {'platform': {'address': 'x'}}):
            self.assertRaises(ConfigurationError, load, VALID_SETTINGS | broken)
        self.assertRaises(ConfigurationError, load_platform_settings, Path('/nowhere'))

    def test_the_bound_for_cold_servers_is_optional_and_is_reloaded(self) -> None:
        running = load(VALID_SETTINGS)
        self.assertThat(running.cold_limit, Equals(None))
        bounds = VALID_SETTINGS['bounds'] | {'cold_over': 1.5, 'cold_slack': 5}
        changed = load(VALID_SETTINGS | {'bounds': bounds})
        self.assertThat(changed.cold_limit, Equals(ColdLimit(1.5, 5.0)))
        self.assertThat(running.with_reloadable_from(changed).cold_limit, Equals(ColdLimit(1.5, 5)))

    def test_an_invalid_bound_for_cold_servers_is_refused(self) -> None:
        odd_values: tuple[Any, ...] = (None, -1, 'many', float('nan'), float('inf'), 1e300, [])
        for broken in odd_values:
            for name in ('cold_over', 'cold_slack'):
                bounds = VALID_SETTINGS['bounds'] | {'cold_over': 1.5, 'cold_slack': 5}
                content = VALID_SETTINGS | {'bounds': bounds | {name: broken}}
                with self.subTest(name=name, broken=broken):
                    error = self.assertRaises(ConfigurationError, load, content)
                    self.assertThat(str(error), Contains('field missing or invalid'))

    def test_opening_segments_per_second_of_a_cold_server(self) -> None:
        for requests_per_s, expected in ((0.0, 5), (0.4, 5), (2.0, 8), (10.0, 20)):
            limit = ColdLimit(1.5, 5.0)
            self.assertThat(limit.segments_per_s(requests_per_s), Equals(expected))

    def test_only_seeds_and_time_limits_change_in_a_running_process(self) -> None:
        running = load(VALID_SETTINGS)
        seeds = ['10.9.9.9:8166']
        bounds = VALID_SETTINGS['bounds'] | {'drain_ms': 5000}
        other_machine = {
            'node_id': 'other',
            'ip': '10.1.0.11',
            'zone': 'avon-side',
            'listen': {'datagram_addr': '10.1.0.11:1', 'ready': '10.1.0.11:2'},
            'limits': {'cpu_share': 2, 'cores': 2, 'memory_mb': 300, 'link_mbps': 5.0},
            'platform': {'address': '10.200.1.8:8169'},
        }
        changed = load(VALID_SETTINGS | other_machine | {'seeds': seeds, 'bounds': bounds})
        reloaded = running.with_reloadable_from(changed)
        self.assertThat(reloaded.seeds, Equals((Endpoint('10.9.9.9', 7720),)))
        self.assertThat(reloaded.time_limits.drain_s, Equals(5.0))
        unchanged = replace(reloaded, seeds=running.seeds, time_limits=running.time_limits)
        self.assertThat(unchanged, Equals(running))
