"""Tests of the decision core's imports."""

import ast
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

PACKAGE = Path('berylstair')
IO_MODULES = {
    '__main__',
    'admin',
    'cli',
    'client',
    'daemon',
    'directory_reader',
    'entry',
    'linelog',
    'log',
    'peers',
    'ports',
    'server_check',
    'serving',
    'settings',
    'source',
    'steering_links',
    'steering_loop',
    'steering_ports',
    'udp',
    'watcher',
}
FORBIDDEN_IMPORTS = {
    'absl',
    'asyncio',
    'http',
    'pykka',
    'select',
    'subprocess',
    'threading',
    'time',
    'urllib',
    'websockets',
}


def imported_modules(path: Path) -> set[str]:
    """Returns the names of all modules that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


class LayersTest(TestCase):
    """Modules outside IO_MODULES use no sockets, clocks, threads or actors."""

    def test_the_core_is_free_of_input_and_output(self) -> None:
        violations = []
        for path in PACKAGE.glob('*.py'):
            if path.stem in IO_MODULES:
                continue
            names = imported_modules(path)
            top_level_names = {name.split('.')[0] for name in names}
            violations.extend(
                (path.name, name) for name in sorted(top_level_names & FORBIDDEN_IMPORTS)
            )
            io_modules = {f'berylstair.{name}' for name in IO_MODULES}
            violations.extend((path.name, name) for name in sorted(names & io_modules))
        self.assertThat(violations, Equals([]))

    def test_socket_is_used_for_address_packing_only(self) -> None:
        allowed = {
            'AF_INET',
            'AF_INET6',
            'AddressFamily',
            'SocketKind',
            'inet_ntoa',
            'inet_ntop',
            'inet_pton',
        }
        for path in PACKAGE.glob('*.py'):
            if path.stem in IO_MODULES:
                continue
            for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
                if isinstance(node, ast.ImportFrom) and node.module == 'socket':
                    self.assertThat({alias.name for alias in node.names} - allowed, Equals(set()))
