"""What one attempt adds to the load of its servers."""

from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import result
from shallothinge.placement import server_queue


class LoadEntry:
    """The work of one attempt at its server and at that server's helpers.

    :param work: the work at the server itself.
    :param keeps_helpers: whether the helpers' work goes on until the end, as
        they hold reserved memory.
    """

    def __init__(
        self,
        *,
        load: fleet.FleetLoad,
        placement: choice.Placement,
        work: server_queue.Work,
        keeps_helpers: bool,
    ):
        self._load = load
        self._keeps_helpers = keeps_helpers
        self._work_ids = [
            load.start(one) for one in result.build_works(placement, work)
        ]

    @property
    def work_id(self) -> int:
        """Return the id of the work at the server itself."""
        return self._work_ids[0]

    def note_event(self) -> None:
        """Record an event: helpers have read their parts of the prompt."""
        for work_id in self._work_ids:
            self._load.first_event(work_id)
        if not self._keeps_helpers:
            for work_id in self._work_ids[1:]:
                self._load.end(work_id)
            del self._work_ids[1:]

    def end(self) -> None:
        """End the work."""
        for work_id in self._work_ids:
            self._load.end(work_id)
