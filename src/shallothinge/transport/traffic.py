"""Counters of messages and bytes on a process's connections."""

import attrs


@attrs.define(kw_only=True)
class Traffic:
    """Messages and their bytes, before encryption, in both directions."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0

    def count_sent(self, *, size_bytes: int) -> None:
        """Count one sent message."""
        self.sent_messages += 1
        self.sent_bytes += size_bytes

    def count_received(self, *, size_bytes: int) -> None:
        """Count one received message."""
        self.received_messages += 1
        self.received_bytes += size_bytes
