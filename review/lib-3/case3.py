"""What the scripts of the cases share: the record and the exit status."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run into ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._start = time.monotonic()
        self.note('trouble', TROUBLE)

    def note(self, *words):
        passed = time.monotonic() - self._start
        print(f'{passed:8.3f}', *words, file=self._file, flush=True)

    def close(self):
        self._file.close()


def run(folder, play, *, limit_s=110):
    """Play a case and exit with its status."""
    record = Record(folder)

    async def bounded():
        try:
            is_broken = await asyncio.wait_for(play(record), limit_s)
            status = BROKEN if is_broken else HELD
            record.note('the rule was broken' if is_broken
                        else 'the rule held')
        except Exception:
            status = NOT_RUN
            record.note('could not run', traceback.format_exc())
            traceback.print_exc()
        record.close()
        # Consumers and servers may still be waiting; all processes have ended.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(status)

    asyncio.run(bounded())
