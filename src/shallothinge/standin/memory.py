"""Fixed KV memory of an engine, shared by streams and the prefix cache."""

import collections
from collections.abc import Callable

import attrs

from shallothinge import tokens


@attrs.define(kw_only=True)
class _Holding:
    """Memory of one owner: private tokens and cache blocks in use."""

    private_tokens: int
    blocks: tuple[str, ...] = ()


class Memory:
    """Tokens of KV memory, by owner, with cached blocks in what is left.

    Cached blocks that no owner uses are evicted, least recently used
    first, when an owner needs the room.

    :param on_cached: called with each block hash that enters the cache.
    :param on_evicted: called with each block hash that leaves it.
    """

    def __init__(
        self,
        *,
        capacity_tokens: int,
        on_cached: Callable[[str], None],
        on_evicted: Callable[[str], None],
    ):
        self._capacity_tokens = capacity_tokens
        self._on_cached = on_cached
        self._on_evicted = on_evicted
        self._holdings: dict[str, _Holding] = {}
        self._users = collections.OrderedDict()

    @property
    def held_tokens(self) -> int:
        """Return the tokens that owners hold, cached blocks in use too."""
        private = sum(h.private_tokens for h in self._holdings.values())
        in_use = sum(1 for users in self._users.values() if users)
        return private + in_use * tokens.BLOCK_TOKENS

    @property
    def cached_blocks(self) -> tuple[str, ...]:
        """Return the hashes of all cached blocks."""
        return tuple(self._users)

    def tokens_of(self, owner: str) -> int:
        """Return the tokens that an owner holds, 0 if it holds none."""
        holding = self._holdings.get(owner)
        if holding is None:
            return 0
        blocks_tokens = len(holding.blocks) * tokens.BLOCK_TOKENS
        return holding.private_tokens + blocks_tokens

    def hold(
        self, owner: str, *, total_tokens: int, hashes: tuple[str, ...] = ()
    ) -> int | None:
        """Hold memory for an owner, using cached leading blocks.

        :returns: the tokens found in the cache, or None if there is no
            room, in which case nothing is held.
        """
        matched = self._match(hashes)
        for block in matched:
            self._users[block] += 1
        cached_tokens = len(matched) * tokens.BLOCK_TOKENS
        private_tokens = max(0, total_tokens - cached_tokens)
        if self.held_tokens + private_tokens > self._capacity_tokens:
            self._unuse(matched)
            return None
        self._holdings[owner] = _Holding(
            private_tokens=private_tokens, blocks=matched
        )
        self._evict()
        return cached_tokens

    def store(self, owner: str, *, hashes: tuple[str, ...]) -> None:
        """Turn an owner's leading private memory into cached blocks."""
        holding = self._holdings[owner]
        for block in hashes[len(holding.blocks) :]:
            if holding.private_tokens < tokens.BLOCK_TOKENS:
                break
            holding.private_tokens -= tokens.BLOCK_TOKENS
            self._add(block)
            self._users[block] += 1
            holding.blocks += (block,)

    def release(self, owner: str) -> bool:
        """Free what an owner holds; its cached blocks stay cached.

        :returns: whether it held anything.
        """
        holding = self._holdings.pop(owner, None)
        if holding is None:
            return False
        self._unuse(holding.blocks)
        return True

    def add_cached(self, hashes: tuple[str, ...]) -> None:
        """Add blocks to the cache, as far as there is room."""
        for block in hashes:
            room = self._capacity_tokens - self.held_tokens
            if room < tokens.BLOCK_TOKENS:
                return
            self._add(block)
            self._evict()

    def _match(self, hashes) -> tuple[str, ...]:
        matched = []
        for block in hashes:
            if block not in self._users:
                break
            matched.append(block)
        return tuple(matched)

    def _unuse(self, blocks) -> None:
        for block in blocks:
            self._users[block] -= 1
            self._users.move_to_end(block)

    def _add(self, block: str) -> None:
        if block not in self._users:
            self._users[block] = 0
            self._on_cached(block)
        self._users.move_to_end(block)

    def _evict(self) -> None:
        room = self._capacity_tokens - self.held_tokens
        unused = [block for block, users in self._users.items() if not users]
        keep = max(0, room // tokens.BLOCK_TOKENS)
        for block in unused[: max(0, len(unused) - keep)]:
            del self._users[block]
            self._on_evicted(block)
