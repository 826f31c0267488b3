"""Incremental encoding of records for snapshots of the state.

Encoding a large state in full at each snapshot would block the leader for
so long that it loses its leadership. Records are immutable, so the bytes
of unchanged records are reused from one snapshot to the next.
"""

import attrs
import cattrs
import msgpack


@attrs.frozen(kw_only=True)
class EncodedRecord:
    """A record and its encoded bytes."""

    record: object
    data: bytes


class RecordCache:
    """Caches the encoded records of one table since the last snapshot.

    :param record_type: the ``attrs`` class of the records.
    """

    def __init__(self, *, converter: cattrs.Converter, record_type: type):
        self._converter = converter
        self._record_type = record_type
        self._encoded: dict[str, EncodedRecord] = {}

    def encode(self, records: dict[str, object]) -> dict[str, bytes]:
        """Return the encoded records, in the order of the table."""
        entries = {}
        for key, record in records.items():
            entry = self._encoded.get(key)
            if entry is None or entry.record is not record:
                entry = EncodedRecord(record=record, data=self._pack(record))
            entries[key] = entry
        self._encoded = entries
        return {key: entry.data for key, entry in entries.items()}

    def decode(self, table: dict[str, bytes]) -> dict[str, object]:
        """Return the decoded records of a table, and cache their bytes."""
        self._encoded = {
            key: EncodedRecord(record=self._unpack(data), data=data)
            for key, data in table.items()
        }
        return {key: entry.record for key, entry in self._encoded.items()}

    def _pack(self, record: object) -> bytes:
        return msgpack.packb(self._converter.unstructure(record))

    def _unpack(self, data: bytes) -> object:
        fields = msgpack.unpackb(data)
        return self._converter.structure(fields, self._record_type)
