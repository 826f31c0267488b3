"""Names of headers, paths and fields on the platform's wire.

Header names are in lower case, as ``http1`` gives them.
"""

# Headers of requests.
REQUEST_ID = 'request-attempt-id'
DEADLINE_MS = 'deadline-milliseconds'
API_KEY = 'credential'
WORKSPACE = 'tenant'
# Number of prompt tokens, a comma, and the largest number of output tokens.
TOKEN_COUNTS = 'token-counts'
# The parts of the prompt in order, as ID:TOKENS entries with commas between.
PROMPT_PARTS = 'prompt-prefix'
LAST_EVENT_ID = 'last-event-id'
EXPECTED_SERVER = 'expected-instance'
URGENCY = 'request-urgency'
HELPERS = 'helpers'

# Headers of answers.
SIGNATURE = 'response-signature'
# Present, whatever its value, if the server did not run the request.
UNRUN = 'not-executed'
# The address of the helper to blame, on a 421 or 503.
FAULT_ADDRESS = 'at-server'
# In callers' refusals, and in a server's 503: it wants nothing from the
# gateway that it answers for so long.
RETRY_AFTER_S = 'retry-after'
# '1' in all answers of a server that leaves.
LEAVING = 'server-leaving'
# In all answers of a server that takes only so many requests a second from
# all gateways together.
LIMIT_PER_S = 'server-limit'

# Path of a server's orders.
ORDER = '/order'

# Paths of the control API.
CONFIGURATION = '/configuration'
SERVERS = '/instances/'
EVACUATION = '/evacuation/'
READINESS = '/readiness'

DRAINING = 'draining'
# Where a server had better send its heartbeats: the leader's API.
LEADER_ADDRESS = 'heartbeat-address'
READY = 'ready'
