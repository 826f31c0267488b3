"""Addresses in settings files: IP numbers with a port."""

import ipaddress
import urllib.parse

import attrs

MAX_PORT = 65_535
ZMQ_SCHEME = 'tcp'
ZMQ_ALLOWED = 'tcp://IP-NUMBER:PORT, such as tcp://10.0.0.5:7000'
HTTP_ALLOWED = 'IP-NUMBER:PORT, such as 10.0.0.5:8080'
URL_ALLOWED = 'http://IP-NUMBER:PORT, such as http://127.0.0.1:9000'


@attrs.frozen(kw_only=True)
class Address:
    """An IP number and a TCP port."""

    host: str
    port: int


def parse_host_port(text: str) -> Address:
    """Return the address in ``IP-NUMBER:PORT``.

    :raises ValueError: if it has another form.
    """
    host, _, port = text.rpartition(':')
    number = ipaddress.ip_address(host.strip('[]'))
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return Address(host=str(number), port=int(port))


def parse_zmq(text: str) -> Address:
    """Return the address in ``tcp://IP-NUMBER:PORT``.

    :raises ValueError: if it has another form.
    """
    scheme, _, rest = text.partition('://')
    if scheme != ZMQ_SCHEME:
        raise ValueError('the scheme is not tcp')
    return parse_host_port(rest)


def parse_url(text: str) -> Address:
    """Return the address in ``http://IP-NUMBER:PORT``.

    :raises ValueError: if it has another form.
    """
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ('http', 'https') or parts.path.strip('/'):
        raise ValueError('not a plain http URL')
    return parse_host_port(parts.netloc)
