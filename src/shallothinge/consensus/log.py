"""The in-memory log of one replica."""

import attrs

from shallothinge.consensus import model

# Allowance for the encoding of an entry, in addition to its data.
ENTRY_OVERHEAD_BYTES = 64


@attrs.frozen(kw_only=True)
class _IndexedConfiguration:
    """A configuration and the index of the entry that set it."""

    index: int
    configuration: model.Configuration


class Log:
    """Log entries after a base, and the configurations that they set.

    :param base: the entry that precedes the first one in the log.
    :param entries: the entries after the base.
    """

    def __init__(
        self, *, base: model.LogBase, entries: tuple[model.Entry, ...] = ()
    ):
        self._base = base
        self._entries = []
        self._configurations = [
            _IndexedConfiguration(
                index=base.index, configuration=base.configuration
            )
        ]
        for entry in entries:
            self.append(entry)

    @property
    def base(self) -> model.LogBase:
        """Return the entry that precedes the first one in the log."""
        return self._base

    @property
    def entries(self) -> tuple[model.Entry, ...]:
        """Return all entries after the base."""
        return tuple(self._entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def configuration(self) -> model.Configuration:
        """Return the newest configuration, committed or not."""
        return self._configurations[-1].configuration

    @property
    def configuration_index(self) -> int:
        """Return the index of the entry that set ``configuration``."""
        return self._configurations[-1].index

    def holds(self, *, index: int, term: int) -> bool:
        """Return whether the log has an entry of this index and term."""
        if not self._base.index <= index <= self.last_index:
            return False
        return self.term_at(index) == term

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index.

        :raises IndexError: if the log does not hold it.
        """
        if index == self._base.index:
            return self._base.term
        return self.entry_at(index).term

    def entry_at(self, index: int) -> model.Entry:
        """Return the entry at an index.

        :raises IndexError: if the log does not hold it.
        """
        if not self._base.index < index <= self.last_index:
            raise IndexError(f'the log does not hold entry {index}')
        return self._entries[index - self._base.index - 1]

    def first_index_of_term_at(self, index: int) -> int:
        """Return the index of the first entry of the term at ``index``."""
        term = self.term_at(index)
        while index > self._base.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_between(
        self, first: int, last: int
    ) -> tuple[model.Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self._base.index - 1
        return tuple(self._entries[start : last - self._base.index])

    def bytes_after(self, index: int) -> int:
        """Return the size of the entries after an index, about as stored."""
        first = max(index, self._base.index) + 1
        return sum(
            _size_of(entry)
            for entry in self.entries_between(first, self.last_index)
        )

    def first_within(self, index: int, *, count: int, limit_bytes: int) -> int:
        """Return where the entries up to ``index`` begin that fit a limit.

        They are at most ``count`` entries of ``limit_bytes`` in all, but the
        last one if it is larger on its own. The result is ``index + 1`` if
        there are none.
        """
        first = index + 1
        oldest = max(self._base.index + 1, first - count)
        size_bytes = 0
        while first > oldest:
            size_bytes += _size_of(self.entry_at(first - 1))
            if size_bytes > limit_bytes and first <= index:
                break
            first -= 1
        return first

    def batch(self, first: int, *, limit_bytes: int) -> tuple:
        """Return entries from ``first`` on, up to ``limit_bytes``.

        If the log has an entry at ``first``, it is returned even if it is
        larger.
        """
        selected = []
        size_bytes = 0
        for index in range(first, self.last_index + 1):
            entry = self.entry_at(index)
            size_bytes += _size_of(entry)
            if selected and size_bytes > limit_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def append(self, entry: model.Entry) -> None:
        """Add the next entry.

        :raises ValueError: if its index is not ``last_index + 1``.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f'entry {entry.index} is out of sequence')
        self._entries.append(entry)
        if entry.configuration is not None:
            indexed = _IndexedConfiguration(
                index=entry.index, configuration=entry.configuration
            )
            self._configurations.append(indexed)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        del self._entries[index - self._base.index - 1 :]
        while self._configurations[-1].index >= index:
            self._configurations.pop()

    def configuration_at(self, index: int) -> model.Configuration:
        """Return the configuration in force at an index."""
        found = self._configurations[0]
        for indexed in self._configurations:
            if indexed.index <= index:
                found = indexed
        return found.configuration

    def compact(self, index: int) -> None:
        """Discard the entries up to ``index``, which becomes the base."""
        if index <= self._base.index:
            return
        base = model.LogBase(
            index=index,
            term=self.term_at(index),
            configuration=self.configuration_at(index),
        )
        rest = self.entries_between(index + 1, self.last_index)
        self.__init__(base=base, entries=rest)

    def reset(self, base: model.LogBase) -> None:
        """Discard all entries and start the log after ``base``."""
        self.__init__(base=base)


def _size_of(entry: model.Entry) -> int:
    return len(entry.data) + ENTRY_OVERHEAD_BYTES
