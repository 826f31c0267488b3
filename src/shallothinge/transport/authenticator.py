"""Authentication of connections by their CURVE public keys."""

import logging

import zmq
from zmq.auth import thread

from shallothinge.transport import keys

LOG = logging.getLogger(__name__)

DOMAIN = 'shallothinge'


class _TrustedKeys:
    """Credentials provider for pyzmq's authenticator."""

    def __init__(self, *, trust: keys.Trust):
        self._trust = trust

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the Z85 key may connect; log those that may not."""
        public = key.decode()
        role = self._trust.role_of(public=public)
        if not role:
            LOG.warning(
                'rejected a connection: its public key is not trusted',
                extra={'public_key': public},
            )
        return bool(role)


def start(
    *, context: zmq.Context, trust: keys.Trust
) -> thread.ThreadAuthenticator:
    """Start to reject connections whose key is not trusted.

    :returns: the authenticator; the caller must stop it.
    """
    authenticator = thread.ThreadAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(
        domain=DOMAIN, credentials_provider=_TrustedKeys(trust=trust)
    )
    return authenticator
