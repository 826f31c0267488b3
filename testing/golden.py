"""Golden sessions: recorded messages through a pure core, as JSON lines.

A session file holds inputs, each with its instant, and after each input
the outputs that the core gave. ``replay`` feeds the inputs to a fresh core
and returns the lines that result; a test compares them with the file.

After a wanted change of behaviour, ``python -m testing.golden`` writes the
outputs anew; the change of the files is then reviewed like any other.
"""

import json
import pathlib
import sys
from typing import Protocol

import cattrs
from cattrs.preconf import json as cattrs_json

from shallothinge import clock as clocks
from testing import drivers

SESSIONS = pathlib.Path(__file__).resolve().parent / 'sessions'


class Driver(Protocol):
    """Feeds one kind of core; made anew for each session.

    ``input_types`` are the classes of the inputs, by name.
    """

    input_types: tuple[type, ...]

    def __init__(self, *, clock: clocks.ManualClock): ...

    def take(self, message: object) -> list[object]:
        """Give an input to the core and return its outputs."""


def make_converter() -> cattrs.Converter:
    """Return the converter between ``attrs`` objects and JSON."""
    converter = cattrs_json.make_converter()
    converter.register_unstructure_hook(bytes, bytes.hex)
    converter.register_structure_hook(
        bytes, lambda value, _: bytes.fromhex(value)
    )
    return converter


class Session:
    """One session file."""

    def __init__(self, *, path: pathlib.Path):
        self.path = path
        self._converter = make_converter()

    def lines(self) -> list[str]:
        """Return the lines of the file."""
        return self.path.read_text(encoding='utf-8').splitlines()

    def replay(self, *, driver_type: type) -> list[str]:
        """Feed the file's inputs to a fresh core.

        :returns: the lines of the session that results.
        """
        clock = clocks.ManualClock()
        driver = driver_type(clock=clock)
        types = {each.__name__: each for each in driver_type.input_types}
        result = []
        for line in self.lines():
            record = json.loads(line)
            if 'input' not in record:
                continue
            name, fields = record['input']
            now_ms = record['at_ms']
            clock.advance(duration_ms=now_ms - clock.now_ms())
            message = self._converter.structure(fields, types[name])
            result.append(self._line('input', message, now_ms))
            for output in driver.take(message):
                result.append(self._line('output', output, now_ms))
        return result

    def _line(self, kind: str, value: object, now_ms: int) -> str:
        fields = self._converter.unstructure(value)
        record = {'at_ms': now_ms, kind: [type(value).__name__, fields]}
        return json.dumps(record, sort_keys=True)


def find_sessions() -> list[tuple[Session, type]]:
    """Return every session file with the driver of its core."""
    found = []
    for path in sorted(SESSIONS.glob('*.jsonl')):
        core = path.name.partition('-')[0]
        found.append((Session(path=path), drivers.DRIVERS[core]))
    return found


def main() -> int:
    """Write the outputs of every session anew."""
    for session, driver_type in find_sessions():
        lines = session.replay(driver_type=driver_type)
        changed = lines != session.lines()
        text = '\n'.join(lines) + '\n'
        session.path.write_text(text, encoding='utf-8')
        print(f'{session.path.name}: {"changed" if changed else "same"}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
