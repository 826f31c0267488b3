"""A part of prompts crashes each runner soon after it has begun to write."""

import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-3'))

import case3  # noqa: E402
import crashing  # noqa: E402
import fleet3  # noqa: E402

DEADLY = 'dead4711'
PLAY_S = 50
# A crash right after the first event; the trouble is a slightly later one.
CRASH_S = 0.4 if case3.TROUBLE else 0.0
# Requests that may reach runners later than contact-ms after the fifth crash.
ALLOWED = 3


async def play(record):
    one = crashing.Crashing(
        record,
        route=fleet3.route('ask', '/ask/', 'streaming', 'pool',
                           **{'resume-streams': True}),
        is_deadly=lambda request: DEADLY in request.fields['prompt-prefix'],
        crash_after_s=CRASH_S)
    try:
        await one.start()

        async def send(turn, part):
            own = secrets.token_hex(4)
            return await one.ask(
                turn, '/ask/1', (
                    ('Model', 'm'), ('Token-Counts', '1460,80'),
                    ('Prompt-Prefix', f'5c1e07a2:800,{part}:410,{own}:250')))

        await one.play(send_deadly=lambda turn: send(turn, DEADLY),
                       send_sound=lambda turn: send(turn, '91bd3f06'),
                       play_s=PLAY_S, every_s=1.0)
        late = one.late(after_crash=5)
        record.note('crashes', len(one.crashed), 'came too late', late,
                    'allowed', ALLOWED)
        return late > ALLOWED
    finally:
        one.stop()


case3.run(FOLDER, play)
