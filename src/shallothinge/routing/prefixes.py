"""The entry's view of the prefix cache of one backend server.

Cache reports may arrive late or get lost, so they carry sequence numbers.
After a gap the known blocks are kept as an estimate until the full listing
that the entry requests arrives.
"""

from collections.abc import Iterable

from shallothinge import tokens

MAX_BLOCKS = 200_000


class PrefixView:
    """Hashes of the cached prompt blocks of one backend server."""

    def __init__(self):
        self._blocks = set()
        self._last_sequence = None

    def __len__(self) -> int:
        return len(self._blocks)

    def apply_report(
        self,
        *,
        sequence: int,
        added: Iterable[str],
        removed: Iterable[str],
        full_listing: bool,
    ) -> bool:
        """Apply one cache report.

        A full listing replaces all known blocks. Other reports that are not
        newer than the last one are ignored. Before the first full listing,
        and after a report with a gap until the next listing, only added
        blocks are applied.

        :param added: hashes of the blocks added to the cache, or of all
            cached blocks in a full listing.
        :param removed: hashes of the blocks evicted from the cache.
        :returns: whether a full listing must be requested.
        """
        if full_listing:
            self._blocks = set(added)
            self._last_sequence = sequence
            return False
        if self._last_sequence is None:
            self._add(added)
            return True
        if sequence <= self._last_sequence:
            return False
        has_gap = sequence != self._last_sequence + 1
        self._last_sequence = None if has_gap else sequence
        self._add(added)
        self._blocks.difference_update(removed)
        return has_gap

    def cached_tokens(self, hashes: tuple[str, ...]) -> int:
        """Return how many leading tokens of a prompt are cached.

        :param hashes: hashes of the blocks of the prompt, in order.
        """
        block_count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            block_count += 1
        return block_count * tokens.BLOCK_TOKENS

    def _add(self, added: Iterable[str]) -> None:
        self._blocks.update(added)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.pop()
