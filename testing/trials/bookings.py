"""Callers that book over and over and check what the service ran.

Half of the bookings are sent once; the others are resent under their key
until an answer is final, as a caller does who lost the first answer.
"""

import collections
from concurrent import futures
import json
import random
import threading
import time
import urllib.error
import urllib.request

import attrs

from testing import deployment

TIMEOUT_S = 10
RESENDS = 4
PAUSE_S = 0.3
WORKERS = 16


@attrs.define(kw_only=True)
class Booking:
    """One booking and the answers that its sends got, in order."""

    key: str
    resends: bool
    answers: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Verdict:
    """What the bookings of a trial came to; the last three must be 0."""

    sent: int
    done: int
    refused: int
    unknown: int
    unanswered: int
    doubled: int
    refused_but_run: int
    answered_but_not_run: int


class Bookings:
    """Books at a steady rate from a thread of its own.

    :param urls: addresses of the entries, used in turn.
    :param api_key: key of the workspace that books.
    """

    def __init__(self, *, urls, api_key: str, rate_per_s: float, seed: int):
        self._urls = urls
        self._api_key = api_key
        self._rate_per_s = rate_per_s
        self._rng = random.Random(seed)
        self._bookings = []
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(WORKERS)
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Begin to book."""
        self._thread.start()

    def stop(self) -> None:
        """Send nothing new and wait for the last answers."""
        self._stopping.set()
        self._thread.join()
        self._pool.shutdown()

    def _run(self) -> None:
        while not self._stopping.is_set():
            number = len(self._bookings)
            booking = Booking(key=f'booking-{number}', resends=number % 2 == 1)
            self._bookings.append(booking)
            self._pool.submit(self._book, booking, number)
            time.sleep(self._rng.expovariate(self._rate_per_s))

    def _book(self, booking: Booking, number: int) -> None:
        attempts = 1 + RESENDS if booking.resends else 1
        for attempt in range(attempts):
            url = self._urls[(number + attempt) % len(self._urls)]
            booking.answers.append(self._send(url, booking))
            if booking.answers[-1] == 'done':
                return
            time.sleep(PAUSE_S)

    def _send(self, url: str, booking: Booking) -> str:
        request = urllib.request.Request(
            f'{url}/v1/services/jobs/bookings',
            data=json.dumps({'flat': booking.key}).encode(),
            headers={
                'Authorization': f'Bearer {self._api_key}',
                'Content-Type': 'application/json',
                'Idempotency-Key': booking.key,
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S):
                return 'done'
        except urllib.error.HTTPError as error:
            document = json.loads(error.read())
            return document['error']['work_state']
        except OSError:
            return 'unanswered'

    def verdict(self, fleet: deployment.Deployment) -> Verdict:
        """Compare the answers with what the services counted."""
        runs = collections.Counter()
        for url in fleet.service_urls:
            counted = deployment.get_json(f'{url}/executions')
            runs.update(counted['by_key'])
        last = [booking.answers[-1] for booking in self._bookings]
        return Verdict(
            sent=len(self._bookings),
            done=last.count('done'),
            refused=last.count('not_run'),
            unknown=last.count('may_have_run'),
            unanswered=last.count('unanswered'),
            doubled=sum(count > 1 for count in runs.values()),
            refused_but_run=sum(
                booking.answers == ['not_run'] * len(booking.answers)
                and _runs_of(runs, booking) > 0
                for booking in self._bookings
            ),
            answered_but_not_run=sum(
                booking.answers[-1] == 'done' and _runs_of(runs, booking) == 0
                for booking in self._bookings
            ),
        )


def _runs_of(runs: collections.Counter, booking: Booking) -> int:
    """Return how often a booking ran, however its key was passed on."""
    return sum(
        count
        for key, count in runs.items()
        if key == booking.key or key.endswith(f'/{booking.key}')
    )
