"""``make demo``: a whole deployment serves four kinds of request.

Prints what happened and exits with 0 only if each request was answered
right, every process stopped as planned and no engine holds memory.
"""

import argparse
from collections.abc import Callable
import json
import pathlib
import shutil
import sys
import time
import traceback
import urllib.error
import urllib.request

import attrs

from shallothinge import tokens
from shallothinge.standin import answers
from testing import deployment
from testing import plan

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / '.demo'
WORKSPACE = 'tenants'
SHORT_PROMPT = 'The tap in flat 12 drips. Who may come today?'
SHORT_TOKENS = 24
LONG_PROMPT_TOKENS = 300_000
LONG_TOKENS = 16
LONG_TIMEOUT_S = 120
BOOKING = {'flat': 12, 'trade': 'plumber'}
BOOKING_KEY = 'booking-flat-12'
BYTES_PER_MB = 1_000_000
PROMPTS = 2
USAGE_TIMEOUT_S = 10


class DemoError(AssertionError):
    """A request was not answered as it should have been."""


def expect(condition: bool, detail: str) -> None:
    """Raise unless a condition holds.

    :raises DemoError: with the detail.
    """
    if not condition:
        raise DemoError(detail)


@attrs.frozen(kw_only=True)
class StreamedAnswer:
    """A streamed chat completion, as the caller received it."""

    text: str
    finish_reason: str
    done: bool
    first_token_ms: int


class Caller:
    """A workspace's application, over plain HTTP."""

    def __init__(self, *, url: str, key: str):
        self._url = url
        self._key = key

    def chat(
        self, *, prompt: str, max_tokens: int, timeout_s: float
    ) -> StreamedAnswer:
        """Send a prompt and read its streamed answer."""
        body = {
            'model': plan.MODEL_NAME,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        started_s = time.monotonic()
        request = self._request(
            '/v1/chat/completions',
            body=body,
            headers={'X-Deadline-Ms': str(int(timeout_s * 1000))},
        )
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return _read_stream(response, started_s=started_s)

    def call(
        self, *, method: str, path: str, body: object = None, key: str = ''
    ) -> object:
        """Call a plain service."""
        headers = {'Idempotency-Key': key} if key else {}
        request = self._request(
            f'/v1/services/{path}', body=body, headers=headers, method=method
        )
        with urllib.request.urlopen(request, timeout=30) as response:
            return json.load(response)

    def _request(self, path, *, body, headers, method=None):
        data = None if body is None else json.dumps(body).encode()
        return urllib.request.Request(
            self._url + path,
            data=data,
            method=method,
            headers={
                'Authorization': f'Bearer {self._key}',
                'Content-Type': 'application/json',
                **headers,
            },
        )


def _read_stream(response, *, started_s: float) -> StreamedAnswer:
    text = ''
    finish_reason = ''
    first_token_ms = 0
    done = False
    for line in response:
        content = line.decode().strip().removeprefix('data: ')
        if content == '[DONE]':
            done = True
        elif content.startswith('{'):
            event = json.loads(content)
            if 'error' in event:
                raise DemoError(f'the answer was cut: {event["error"]}')
            choice = event['choices'][0]
            text += choice['delta'].get('content') or ''
            finish_reason = choice['finish_reason'] or finish_reason
            if text and not first_token_ms:
                elapsed_s = time.monotonic() - started_s
                first_token_ms = int(elapsed_s * 1000)
    return StreamedAnswer(
        text=text,
        finish_reason=finish_reason,
        done=done,
        first_token_ms=first_token_ms,
    )


class Demo:
    """The steps of the demonstration, in order."""

    def __init__(self, *, running: deployment.Deployment):
        self._running = running
        key = running.api_keys[WORKSPACE].key
        self._callers = [
            Caller(url=url, key=key) for url in running.entry_urls
        ]

    def steps(self) -> list[tuple[str, Callable[[], str]]]:
        """Return each step's name and the function that does it."""
        return [
            ('short streamed prompt', self._short_prompt),
            ('300k-token prompt', self._long_prompt),
            ('job status look-up', self._status),
            ('booking sent twice with one key', self._booking),
            ('engine memory', self._memory),
            ('usage ledger', self._usage),
            ('metrics', self._metrics),
            ('processes', self._processes),
        ]

    def _check_answer(self, answer, *, prompt, max_tokens) -> None:
        wanted = answers.Answer(prompt=prompt).text(tokens=max_tokens)
        expect(answer.text == wanted, f'wrong text: {answer.text[:80]!r}')
        expect(answer.finish_reason == 'length', 'no finish reason')
        expect(answer.done, 'the answer is not marked as whole')

    def _short_prompt(self) -> str:
        answer = self._callers[0].chat(
            prompt=SHORT_PROMPT, max_tokens=SHORT_TOKENS, timeout_s=30
        )
        self._check_answer(
            answer, prompt=SHORT_PROMPT, max_tokens=SHORT_TOKENS
        )
        return (
            f'{SHORT_TOKENS} tokens, whole; first token after '
            f'{answer.first_token_ms} ms'
        )

    def _long_prompt(self) -> str:
        line = 'Clause 7: the contractor shall hand over each flat. '
        length = LONG_PROMPT_TOKENS * tokens.BYTES_PER_TOKEN
        prompt = (line * (length // len(line) + 1))[:length]
        memory = plan.EnginePlan(zone='').options.memory_tokens
        expect(LONG_PROMPT_TOKENS > 2 * memory, 'the prompt is too short')
        answer = self._callers[1].chat(
            prompt=prompt, max_tokens=LONG_TOKENS, timeout_s=LONG_TIMEOUT_S
        )
        self._check_answer(answer, prompt=prompt, max_tokens=LONG_TOKENS)
        return (
            f'{LONG_PROMPT_TOKENS} tokens over engines of {memory} each, '
            f'whole; first token after {answer.first_token_ms} ms'
        )

    def _status(self) -> str:
        answer = self._callers[0].call(
            method='GET', path='lookups/status/17', key='status-17'
        )
        expect(answer['path'] == 'status/17', f'wrong answer: {answer}')
        return 'answered by the service'

    def _booking(self) -> str:
        received = [
            caller.call(
                method='POST', path='jobs/book', body=BOOKING, key=BOOKING_KEY
            )
            for caller in self._callers
        ]
        expect(received[0] == received[1], f'two answers: {received}')
        executions = sum(
            deployment.get_json(f'{url}/executions')['by_key'].get(
                BOOKING_KEY, 0
            )
            for url in self._running.service_urls
        )
        expect(executions == 1, f'ran {executions} times')
        return 'ran once; both entries gave the same answer'

    def _memory(self) -> str:
        held = self._running.wait_memory_free()
        expect(held == 0, f'{held} tokens are still held')
        return 'no engine holds any'

    def _usage(self) -> str:
        ends_s = time.monotonic() + USAGE_TIMEOUT_S
        while True:
            view = json.loads(self._running.operate('usage', '--json'))
            requests = sum(row['requests'] for row in view['rows'])
            if requests == PROMPTS or time.monotonic() > ends_s:
                break
        expect(requests == PROMPTS, f'{requests} requests are in the ledger')
        prompt_tokens = sum(row['prompt_tokens'] for row in view['rows'])
        wanted = tokens.count_tokens(SHORT_PROMPT) + LONG_PROMPT_TOKENS
        expect(prompt_tokens == wanted, f'{prompt_tokens} prompt tokens')
        self._running.operate(
            'forecast', '--plot', str(self._running.folder / 'forecast.html')
        )
        return f'{requests} requests, {prompt_tokens} prompt tokens, forecast'

    def _metrics(self) -> str:
        finished = 0
        for part in self._running.parts.values():
            if not part.metrics_url:
                continue
            with urllib.request.urlopen(part.metrics_url) as response:
                text = response.read().decode()
            if part.role != 'control':
                expect(
                    'lease_remaining_milliseconds' in text,
                    f'{part.name} does not publish its lease',
                )
            finished += sum(
                float(line.rpartition(' ')[2])
                for line in text.splitlines()
                if line.startswith('requests_total{outcome="finished"')
            )
        expect(finished == PROMPTS, f'{finished:g} finished requests counted')
        return f'{finished:g} finished requests counted'

    def _processes(self) -> str:
        parts = self._running.parts.values()
        parents = [part.name for part in parts if part.children]
        expect(not parents, f'started other processes: {parents}')
        sizes = []
        for role in deployment.STOP_ORDER:
            largest = max(
                part.memory_bytes for part in self._running.by_role(role)
            )
            sizes.append(f'{role} {largest / BYTES_PER_MB:.0f} MB')
        return f'none started another; largest: {", ".join(sizes)}'


def make_plan() -> plan.Plan:
    """Return the demo's deployment.

    Its engines carry as much while cold as while warm, so that the long
    prompt needs no traffic before it that warms the fleet up.
    """
    small = plan.small_plan()
    return plan.small_plan(
        engines=tuple(
            attrs.evolve(
                engine,
                options=attrs.evolve(
                    engine.options,
                    cold_limit_tokens=2 * engine.options.memory_tokens,
                ),
            )
            for engine in small.engines
        ),
        services=(
            plan.ServicePlan(zone='zone-1', name='jobs'),
            plan.ServicePlan(zone='zone-2', name='lookups'),
        ),
        service_specs=(
            plan.ServiceSpec(name='jobs', repeatable=False),
            plan.ServiceSpec(name='lookups', repeatable=True),
        ),
    )


def run_steps(running: deployment.Deployment) -> int:
    """Do every step and print its outcome.

    :returns: how many failed.
    """
    failed = 0
    for name, do in Demo(running=running).steps():
        try:
            print(f'ok      {name}: {do()}', flush=True)
        except (DemoError, OSError, ValueError, KeyError) as error:
            failed += 1
            print(f'FAILED  {name}: {error}', flush=True)
            if isinstance(error, urllib.error.HTTPError):
                print(f'        {error.read().decode()}', flush=True)
    return failed


def stop(running: deployment.Deployment) -> int:
    """Stop everything as planned and print the outcome.

    :returns: how many processes did not end with exit status 0.
    """
    statuses = running.stop()
    bad = {name: status for name, status in statuses.items() if status}
    if bad:
        print(f'FAILED  planned stop: exit statuses {bad}')
    else:
        print(f'ok      planned stop: {len(statuses)} processes ended with 0')
    return len(bad)


def run(*, program: tuple[str, ...]) -> int:
    """Run the demonstration and return the exit status."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    running = deployment.Deployment(
        folder=FOLDER, plan=make_plan(), program=program
    )
    try:
        running.write_settings()
        started_s = time.monotonic()
        running.start()
        elapsed_s = time.monotonic() - started_s
        print(f'ok      {len(running.parts)} processes, {elapsed_s:.1f} s')
        failed = run_steps(running)
        failed += stop(running)
    except Exception:
        traceback.print_exc()
        failed = 1
    finally:
        running.kill_all()
    verdict = 'all steps succeeded' if not failed else f'{failed} failed'
    print(f'demo: {verdict}; logs are in {FOLDER}/logs')
    return 1 if failed else 0


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--binary', type=pathlib.Path, help='the one binary to run instead'
    )
    arguments = parser.parse_args()
    program = deployment.SOURCE_PROGRAM
    if arguments.binary is not None:
        program = (str(arguments.binary.resolve()),)
    return run(program=program)


if __name__ == '__main__':
    sys.exit(main())
