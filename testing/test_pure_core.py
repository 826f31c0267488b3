"""Tests that the modules which decide do no input or output."""

import ast
import pathlib
import unittest

SOURCE = pathlib.Path(__file__).resolve().parent.parent / 'src'
PACKAGE = 'shallothinge'
FORBIDDEN = frozenset(
    (
        'asyncio',
        'fcntl',
        'io',
        'os',
        'pathlib',
        'secrets',
        'select',
        'signal',
        'socket',
        'subprocess',
        'sys',
        'threading',
        'time',
        'twisted',
        'urllib',
        'zmq',
        'zope',
    )
)
# The clock is where time enters; everything else is handed one.
READS_TIME = f'{PACKAGE}.clock'
CORE_SLICES = (
    'admission',
    'allowances',
    'bundles',
    'calls',
    'consensus',
    'ledger',
    'membership',
    'outages',
    'placement',
    'quarantine',
    'reservations',
    'routes',
    'routing',
    'scheduling',
    'server_limits',
    'streams',
)
CORE_MODULES = (
    'agent.authority',
    'agent.coldlimit',
    'agent.fencing',
    'agent.gate',
    'agent.model',
    'agent.pace',
    'agent.reconcile',
    'agent.rollout',
    'agent.stall',
    'agent.status',
    'agent.warmup',
    'agent.watch',
    'control.answers',
    'control.commands',
    'control.leadership',
    'control.machine',
    'control.orders',
    'control.state',
    'entry.answers',
    'entry.requests',
    'entry.workspaces',
    'errors',
    'gateway.absence',
    'gateway.cold_rate_limiter',
    'gateway.hedging',
    'gateway.policy',
    'http1.messages',
    'leases.holder',
    'leases.messages',
    'leases.table',
    'platform.names',
    'platform.routes',
    'protocol',
    'sse',
    'standin.answers',
    'standin.engine',
    'standin.events',
    'standin.memory',
    'standin.weights',
    'tokens',
    'wire',
)


def path_of(name):
    """Return the file of a dotted module name, or None if it has none."""
    path = SOURCE.joinpath(*name.split('.'))
    for candidate in (path.with_suffix('.py'), path / '__init__.py'):
        if candidate.is_file():
            return candidate
    return None


def imports_of(path):
    """Return the dotted names that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                full = f'{node.module}.{alias.name}'
                found = path_of(full) if full.startswith(PACKAGE) else None
                names.add(full if found else node.module)
    return names


def core_names():
    """Return the dotted names of all modules of the core."""
    names = {f'{PACKAGE}.{name}' for name in CORE_MODULES}
    for slice_name in CORE_SLICES:
        for path in (SOURCE / PACKAGE / slice_name).glob('*.py'):
            if path.stem != '__init__':
                names.add(f'{PACKAGE}.{slice_name}.{path.stem}')
    return sorted(names)


class PureCoreTest(unittest.TestCase):
    """Imports of the core, also by way of the project's own modules."""

    def find_forbidden(self, name, *, seen):
        if name in seen or name == READS_TIME:
            return []
        seen.add(name)
        found = []
        for imported in sorted(imports_of(path_of(name))):
            if imported.partition('.')[0] in FORBIDDEN:
                found.append(f'{name} imports {imported}')
            elif imported.startswith(PACKAGE + '.'):
                found += self.find_forbidden(imported, seen=seen)
        return found

    def test_core_imports_neither_sockets_nor_files_nor_time(self):
        for name in core_names():
            with self.subTest(module=name):
                self.assertIsNotNone(path_of(name), 'no such module')
                self.assertEqual([], self.find_forbidden(name, seen=set()))

    def test_a_shell_is_found_out(self):
        found = self.find_forbidden(f'{PACKAGE}.process', seen=set())
        self.assertTrue(any('zmq' in line for line in found))
