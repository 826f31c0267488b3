"""Fingerprints, which tell the same request when it comes again."""

import hmac

PREFIX = 'request-'
ALGORITHM = 'sha256'
# Separates this use of the secret from others.
PURPOSE = b'fingerprint'
DIGEST_BYTES = 12
LENGTH_BYTES = 8


class Fingerprinter:
    """Computes fingerprints that all gateways of a deployment agree on.

    Content can not be guessed from a fingerprint without the secret, so it
    may be logged and sent to other gateways.

    :param secret: secret that the gateways share.
    """

    def __init__(self, *, secret: bytes):
        self._key = hmac.digest(secret, PURPOSE, ALGORITHM)

    def compute(
        self,
        *,
        caller: str,
        method: str,
        host: str,
        target: str,
        body: bytes,
    ) -> str:
        """Return the fingerprint of a request.

        Headers are left out: some of them differ whenever a request is sent.

        :param caller: the workspace, '' for an anonymous caller.
        :param target: path and query.
        """
        digest = hmac.new(self._key, digestmod=ALGORITHM)
        for field in (caller, method, host, target):
            encoded = field.encode('utf-8', 'surrogateescape')
            digest.update(len(encoded).to_bytes(LENGTH_BYTES, 'big'))
            digest.update(encoded)
        digest.update(body)
        return PREFIX + digest.digest()[:DIGEST_BYTES].hex()


def is_fingerprint(part_id: str) -> bool:
    """Return whether an id is that of a request, not of a prompt's part."""
    return part_id.startswith(PREFIX)
