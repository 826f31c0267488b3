"""Snapshots of the state that don't encode again what has not changed.

A leader that encodes a large state at each snapshot stands still for so
long that it loses its leadership. Records are immutable, so the bytes of
those that are still the same are kept from one snapshot to the next.
"""

import attrs
import cattrs
import msgpack


@attrs.frozen(kw_only=True)
class Encoded:
    """A record with its bytes."""

    record: object
    data: bytes


class RecordCache:
    """Bytes of the records of one table, as of the last snapshot.

    :param record_type: the ``attrs`` class of the records.
    """

    def __init__(self, *, converter: cattrs.Converter, record_type: type):
        self._converter = converter
        self._record_type = record_type
        self._encoded: dict[str, Encoded] = {}

    def encode(self, records: dict[str, object]) -> dict[str, bytes]:
        """Return the bytes of each record, in the order of the table."""
        kept = {}
        for key, record in records.items():
            known = self._encoded.get(key)
            if known is None or known.record is not record:
                known = Encoded(record=record, data=self._pack(record))
            kept[key] = known
        self._encoded = kept
        return {key: encoded.data for key, encoded in kept.items()}

    def decode(self, table: dict[str, bytes]) -> dict[str, object]:
        """Return the records of a table, and keep their bytes."""
        self._encoded = {
            key: Encoded(record=self._unpack(data), data=data)
            for key, data in table.items()
        }
        return {key: known.record for key, known in self._encoded.items()}

    def _pack(self, record: object) -> bytes:
        return msgpack.packb(self._converter.unstructure(record))

    def _unpack(self, data: bytes) -> object:
        fields = msgpack.unpackb(data)
        return self._converter.structure(fields, self._record_type)
