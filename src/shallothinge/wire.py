"""Codec for the messages between the project's own processes.

A message is an ``attrs`` class. On the wire it is a MessagePack array of
the class name and a map of its fields, so that a process of an older
release ignores fields that it does not know and defaults those that it
lacks.
"""

from collections.abc import Iterable

import cattrs
from cattrs.preconf import msgpack as cattrs_msgpack
import msgpack

# Integers of messages that are sent on or stored have to fit into messages
# again, and so do sums of a few.
MAX_INTEGER = 2**63 - 1


class WireError(ValueError):
    """Bytes that are not a message which this codec knows."""


class Codec:
    """Encodes and decodes a fixed set of message classes.

    :param message_types: the ``attrs`` classes that may be exchanged; their
        names must be unique.
    """

    def __init__(self, *, message_types: Iterable[type]):
        self._converter = cattrs_msgpack.make_converter()
        self._converter.register_structure_hook_func(
            lambda kind: kind is tuple, _structure_plain_tuple
        )
        self._converter.register_structure_hook(int, _structure_integer)
        # The hook of ``int`` would also be that of its subclass.
        self._converter.register_structure_hook(
            bool, lambda value, _: bool(value)
        )
        self._types = {}
        for message_type in message_types:
            name = message_type.__name__
            if self._types.get(name, message_type) is not message_type:
                raise ValueError(f'two message classes are named {name}')
            self._types[name] = message_type

    @property
    def message_types(self) -> tuple[type, ...]:
        """Return the classes that may be exchanged."""
        return tuple(self._types.values())

    def encode(self, message: object) -> bytes:
        """Return the bytes of a message.

        :raises WireError: if the message's class is not in the set.
        """
        name = type(message).__name__
        if self._types.get(name) is not type(message):
            raise WireError(f'{name} is not a message of this codec')
        fields = self._converter.unstructure(message)
        return msgpack.packb([name, fields])

    def decode(self, data: bytes) -> object:
        """Return the message that the bytes hold.

        :raises WireError: if they hold no message of the set.
        """
        try:
            name, fields = msgpack.unpackb(data)
            message_type = self._types[name]
            return self._converter.structure(fields, message_type)
        except (ValueError, TypeError, KeyError) as error:
            raise WireError('bytes hold no known message') from error
        except (msgpack.UnpackException, cattrs.BaseValidationError) as error:
            raise WireError('bytes hold a malformed message') from error


def _structure_plain_tuple(value: object, _: type) -> tuple:
    """Return an entry whose fields its receiver checks.

    Anything else than an array becomes an empty entry, so that the receiver
    skips it alone and not the message.
    """
    return tuple(value) if isinstance(value, list) else ()


def _structure_integer(value: object, _: type) -> int:
    """Return an integer; a float like 1e300 makes one that fits nowhere."""
    integer = int(value)
    if abs(integer) > MAX_INTEGER:
        raise ValueError('integer out of range')
    return integer
