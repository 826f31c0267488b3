"""Dependencies that all requests of a gateway share."""

import random

import attrs

from shallothinge import clock as clocks
from shallothinge import process as processes
from shallothinge.gateway import hedging
from shallothinge.gateway import model
from shallothinge.gateway import room
from shallothinge.gateway import servers
from shallothinge.gateway import shutdown
from shallothinge.http1 import client
from shallothinge.leases import holder as holders
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import waiting
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import state as quarantines
from shallothinge.routing import retries
from shallothinge.server_limits import returns


@attrs.frozen(kw_only=True)
class Dependencies:
    """Dependencies that all requests of a gateway share.

    ``waiting`` holds the long prompts that wait for reads to end,
    ``permit_queue`` the requests that wait for servers that limit their rate,
    ``room`` those that wait for a free slot.
    """

    reactor: object
    clock: clocks.Clock
    rng: random.Random
    dialect: model.Dialect
    holder: holders.LeaseHolder
    servers: servers.Servers
    load: fleet.FleetLoad
    chooser: choice.Chooser
    waiting: waiting.WaitingPrompts
    permit_queue: waiting.WaitingPrompts
    room: room.RoomQueue
    returns: returns.ReturnSchedule
    budget: retries.RetryBudget
    answer_times: hedging.AnswerTimes
    quarantine: quarantines.PartQuarantine
    fingerprinter: fingerprints.Fingerprinter
    caller: client.HttpClient
    process: processes.Process
    shutdown: shutdown.Shutdown
    zone: str

    @property
    def metrics(self):
        """Return the process's metrics, created on first access."""
        return self.process.metrics
