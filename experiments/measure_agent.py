"""Measures what one agent costs by the number of streams through it.

Runs a control host, a stand-in engine and an agent as processes of their
own, plays the entry itself, and prints JSON. The agent's CPU time and
memory are read from the operating system.
"""

import argparse
import json
import os
import pathlib
import tempfile

import attrs
from twisted.internet import defer
from twisted.internet import task

from shallothinge import process as processes
from shallothinge import protocol
from shallothinge import tokens as token_counts
from shallothinge.settings import model
from shallothinge.standin import model as standin
from shallothinge.streams import messages
from testing import deployment
from testing import plan as plans

STREAM_COUNTS = (4, 8, 16, 32)
ANSWER_TOKENS = 200
PROMPT_TOKENS = 1000
IDLE_S = 5
OWNED_S = 0.5
POLL_S = 0.02
KIB = 1024
MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class Usage:
    """What a process has used so far."""

    cpu_ms: float
    memory_kib: int


@attrs.frozen(kw_only=True)
class Row:
    """One run with a number of streams at once."""

    streams: int
    tokens: int
    frames: int
    cpu_ms_per_stream: float
    cpu_ms_per_1000_tokens: float
    memory_kib: int
    bytes_per_token: float


@attrs.frozen(kw_only=True)
class Idle:
    """An agent with a connected entry and no streams."""

    cpu_percent: float
    memory_kib: int
    statuses_per_s: float
    bytes_per_status: float


@attrs.frozen(kw_only=True)
class Report:
    """All runs of one measurement."""

    answer_tokens: int
    prompt_tokens: int
    idle: Idle
    rows: tuple[Row, ...]


def read_usage(pid: int) -> Usage:
    """Return CPU time and resident memory of a process."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return Usage(
        cpu_ms=ticks * MS_PER_S / os.sysconf('SC_CLK_TCK'),
        memory_kib=pages * os.sysconf('SC_PAGE_SIZE') // KIB,
    )


class Caller:
    """Plays an entry that is connected to the agent."""

    def __init__(
        self,
        *,
        reactor,
        folder: pathlib.Path,
        address: str,
        name: str = 'entry-measure',
    ):
        self._name = name
        settings = model.ProcessSettings(
            process_id=name,
            zone='zone-1',
            host='host-measure',
            address='tcp://127.0.0.1:*',
            key_file='entry.key',
            trust_file='trust.toml',
        )
        self._process = processes.Process(
            reactor=reactor, settings=settings, folder=folder
        )
        self._link = self._process.connect(
            address=address, role='agent', on_message=self._take
        )
        self.failed = 0
        self._codec = protocol.build_codec()
        self._owned = set()
        self.statuses = []
        self.frames = 0
        self.frame_bytes = 0
        self.finished = 0
        self.refused = 0
        self._loop = task.LoopingCall(self._announce)
        self._loop.start(OWNED_S)

    def _announce(self) -> None:
        owned = messages.StreamsOwned(
            entry_id=self._name, request_ids=tuple(self._owned)
        )
        self._link.send(owned)

    def _take(self, message) -> None:
        if isinstance(message, messages.AgentStatus):
            self.statuses.append(len(self._codec.encode(message)))
        elif isinstance(message, messages.StreamFinished):
            self._owned.discard(message.request_id)
            self.finished += 1
        elif isinstance(message, messages.StreamRefused):
            self._owned.discard(message.request_id)
            self.refused += 1
        elif isinstance(message, messages.StreamFailed):
            self._owned.discard(message.request_id)
            self.failed += 1
        elif isinstance(message, (messages.StreamFrame, messages.FrameBatch)):
            self.frames += 1
            self.frame_bytes += len(self._codec.encode(message))

    def start(
        self,
        request_id: str,
        *,
        prompt_tokens: int = PROMPT_TOKENS,
        max_tokens: int = ANSWER_TOKENS,
    ) -> bool:
        """Ask for a stream.

        :returns: False if the request did not leave.
        """
        size_bytes = prompt_tokens * token_counts.BYTES_PER_TOKEN
        self._owned.add(request_id)
        request = messages.StartStream(
            request_id=request_id,
            attempt=1,
            entry_id=self._name,
            workspace='tenants',
            model=plans.MODEL_NAME,
            model_version=plans.MODEL_VERSION,
            prompt=(request_id + ' abc' * prompt_tokens)[:size_bytes],
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            deadline_ms=60_000,
        )
        return self._link.send(request)

    def close(self) -> None:
        """Drop the connection."""
        self._loop.stop()
        self._link.close()
        self._process.close()


def pause(reactor, duration_s: float) -> defer.Deferred:
    """Return a Deferred that fires after a while."""
    return task.deferLater(reactor, duration_s, lambda: None)


@defer.inlineCallbacks
def until(reactor, condition):
    """Wait until a condition holds."""
    while not condition():
        yield pause(reactor, POLL_S)


@defer.inlineCallbacks
def measure_idle(reactor, caller: Caller, pid: int):
    """Fires with the cost of an agent without streams."""
    before = read_usage(pid)
    caller.statuses.clear()
    yield pause(reactor, IDLE_S)
    after = read_usage(pid)
    sizes = caller.statuses or [0]
    used_ms = after.cpu_ms - before.cpu_ms
    return Idle(
        cpu_percent=round(used_ms * 100 / (IDLE_S * MS_PER_S), 2),
        memory_kib=after.memory_kib,
        statuses_per_s=len(caller.statuses) / IDLE_S,
        bytes_per_status=round(sum(sizes) / len(sizes), 1),
    )


@defer.inlineCallbacks
def measure_streams(reactor, caller: Caller, pid: int, streams: int):
    """Fires with the cost of a number of streams at once."""
    before = read_usage(pid)
    caller.finished = caller.frames = caller.frame_bytes = 0
    for number in range(streams):
        name = f'm{streams}-{number}'
        yield until(reactor, lambda name=name: caller.start(name))
    yield until(reactor, lambda: caller.finished + caller.refused >= streams)
    if caller.refused:
        raise RuntimeError(f'{caller.refused} streams were refused')
    after = read_usage(pid)
    used_ms = after.cpu_ms - before.cpu_ms
    tokens = streams * ANSWER_TOKENS
    return Row(
        streams=streams,
        tokens=tokens,
        frames=caller.frames,
        cpu_ms_per_stream=round(used_ms / streams, 2),
        cpu_ms_per_1000_tokens=round(used_ms * 1000 / tokens, 2),
        memory_kib=after.memory_kib,
        bytes_per_token=round(caller.frame_bytes / tokens, 1),
    )


@defer.inlineCallbacks
def measure(reactor, running: deployment.Deployment):
    """Fires with the report of all runs."""
    agent = running.by_role('agent')[0]
    caller = Caller(
        reactor=reactor, folder=running.folder, address=agent.address
    )
    yield until(reactor, lambda: caller.statuses)
    yield pause(reactor, IDLE_S)
    idle = yield measure_idle(reactor, caller, agent.pid)
    rows = []
    for streams in STREAM_COUNTS:
        row = yield measure_streams(reactor, caller, agent.pid, streams)
        rows.append(row)
    caller.close()
    return Report(
        answer_tokens=ANSWER_TOKENS,
        prompt_tokens=PROMPT_TOKENS,
        idle=idle,
        rows=tuple(rows),
    )


def make_plan() -> plans.Plan:
    """Return one engine that needs no warm-up, and no entries."""
    options = standin.EngineOptions(models=(plans.MODEL_ID,))
    engine = plans.EnginePlan(
        zone='zone-1',
        options=options,
        agent={'cold_limit_tokens': options.memory_tokens},
    )
    return plans.Plan(controls=1, entries=0, engines=(engine,))


def main() -> None:
    """Run the measurement and print its report."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        running = deployment.Deployment(
            folder=pathlib.Path(scratch) / 'run', plan=make_plan()
        )
        try:
            running.write_settings()
            running.start()
            task.react(_run, (running,))
        finally:
            running.kill_all()


@defer.inlineCallbacks
def _run(reactor, running):
    report = yield measure(reactor, running)
    print(json.dumps(attrs.asdict(report), indent=2))


if __name__ == '__main__':
    main()
