"""The users' bound on the requests to a server that has named a limit.

It holds for each window, from some time after the limit was first named.
"""

WINDOW_MS = 4000
BINDING_AFTER_MS = 3000


def allowed(per_s: float) -> float:
    """Return how many requests the server may get in a window."""
    return 1.5 * per_s * WINDOW_MS / 1000 + 5
