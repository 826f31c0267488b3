"""What the entry knows of the prefix cache of one backend server.

Reports come late and may be lost. They are numbered: after a gap the
listing is kept as a guess and a fresh one is asked for.
"""

from collections.abc import Iterable

from shallothinge import tokens

MAX_BLOCKS = 200_000


class PrefixView:
    """Cached prompt blocks of one backend server, as last reported."""

    def __init__(self):
        self._blocks = set()
        self._sequence = None

    def __len__(self) -> int:
        return len(self._blocks)

    def take(
        self,
        *,
        sequence: int,
        added: Iterable[str],
        removed: Iterable[str],
        full_listing: bool,
    ) -> bool:
        """Take one report.

        :returns: whether a fresh listing must be asked for.
        """
        if full_listing:
            self._blocks = set(added)
            self._sequence = sequence
            return False
        if self._sequence is None:
            self._add(added)
            return True
        if sequence <= self._sequence:
            return False
        has_gap = sequence != self._sequence + 1
        self._sequence = None if has_gap else sequence
        self._add(added)
        self._blocks.difference_update(removed)
        return has_gap

    def cached_tokens(self, hashes: tuple[str, ...]) -> int:
        """Return how many leading tokens of a prompt are cached.

        :param hashes: block hashes of the prompt, from its start on.
        """
        blocks = 0
        for block in hashes:
            if block not in self._blocks:
                break
            blocks += 1
        return blocks * tokens.BLOCK_TOKENS

    def _add(self, added: Iterable[str]) -> None:
        self._blocks.update(added)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.pop()
