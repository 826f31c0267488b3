"""What the quarantine tells requests."""

from typing import Protocol

import attrs


@attrs.frozen(kw_only=True)
class Admission:
    """Whether a request may be sent to a server.

    ``refused_ms`` is how long it is refused for, 0 if it is not. ``wait_ms``
    is the time until a decision on one of its parts, 0 if none is due.
    ``is_probe`` is whether it tests a part whose quarantine has ended.
    """

    part_id: str = ''
    refused_ms: int = 0
    wait_ms: int = 0
    is_probe: bool = False


ADMITTED = Admission()


class Watcher(Protocol):
    """Callback to a request that waits or runs."""

    def on_quarantined(self, part_id: str) -> None:
        """Handle the quarantine of a part, or its renewal."""
