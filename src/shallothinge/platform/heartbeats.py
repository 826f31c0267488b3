"""Reads what the platform's backend servers say of themselves."""

import ipaddress

import attrs

from shallothinge.membership.model import BackendServer
from shallothinge.platform import fields as checks
from shallothinge.platform import names
from shallothinge.settings import addresses


class InvalidHeartbeat(ValueError):
    """A heartbeat that names no server to use; the text says why."""


@attrs.frozen(kw_only=True)
class Ranges:
    """The greatest values of a heartbeat's numbers.

    ``started_ms`` is a Unix time.
    """

    slots: int = 65_536
    sequence: int = 2**31
    started_ms: int = 2**42
    cold_ms: int = 3_600_000


@attrs.frozen(kw_only=True)
class Announcement:
    """A server, when it was started, and the number of the heartbeat."""

    server: BackendServer
    started_ms: int
    sequence: int


def read(
    *, server_id: str, content: bytes, ranges: Ranges = Ranges()
) -> Announcement:
    """Return what a heartbeat announces.

    :param server_id: the id in its path.
    :raises InvalidHeartbeat: if a field is missing, of another type or out of
        range, or the server is in no known state.
    """
    try:
        return _read(server_id, checks.parse(content), ranges)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise InvalidHeartbeat(f'{error!r:.200}') from error


def _read(server_id: str, fields: dict, ranges: Ranges) -> Announcement:
    state = fields['state']
    if state not in (names.READY, names.DRAINING):
        raise ValueError(f'unknown state {state!r:.40}')
    # Left out by servers that do not state when they were started.
    started_ms = checks.whole(
        fields.get('born', 0), name='born', most=ranges.started_ms
    )
    # Null means the same as 0.
    cold_ms = fields.get('cold-remaining-ms')
    return Announcement(
        server=BackendServer(
            server_id=checks.text(server_id, name='the id'),
            incarnation=str(started_ms),
            address=_read_address(fields['address']),
            zone=checks.text(fields['zone'], name='zone'),
            host='',
            services=(checks.text(fields['service'], name='service'),),
            leaving=state == names.DRAINING,
            cold_ms=_read_cold_ms(0 if cold_ms is None else cold_ms, ranges),
            slots=checks.whole(
                fields['slots'], name='slots', most=ranges.slots
            ),
        ),
        started_ms=started_ms,
        sequence=checks.whole(
            fields['sequence'], name='sequence', most=ranges.sequence
        ),
    )


def _read_cold_ms(value: object, ranges: Ranges) -> int:
    name = 'cold-remaining-ms'
    cold_ms = checks.number(value, name=name, most=ranges.cold_ms)
    if cold_ms < 0:
        raise ValueError(f'{name} is negative')
    return int(cold_ms)


def _read_address(value: object) -> str:
    """Return an address to which a connection can be opened."""
    text = checks.text(value, name='address')
    port = text.rpartition(':')[2]
    if not (text.isascii() and port.isdigit()):
        raise ValueError('address has no port')
    address = ipaddress.ip_address(addresses.parse_host_port(text).host)
    is_reserved = address.is_reserved and not address.is_loopback
    if address.is_unspecified or address.is_multicast or is_reserved:
        raise ValueError('address is not that of a host')
    return text
