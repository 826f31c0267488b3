"""What the platform's operator and backend servers send."""

import copy

ENGINE = {
    'slots': 8,
    'kv-cache-tokens': 405000,
    'stride': 34,
    'step_ms': 1.31,
    'read_per_s': 154000.0,
    'pairs_per_m': 0.162,
    'chunk': 2048,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'path-prefix': '/lohu930/',
            'kind': 'streaming',
            'timeout-ms': 10000,
            'target-latency-ms': 300,
            'priority': 1,
            'traffic-split': [
                {'service': 'llm', 'weight': 90},
                {'service': 'desk', 'weight': 10},
            ],
            'attempts': 2,
            'allow-anonymous': False,
            'sticky-sessions': True,
            'resume-streams': True,
            'target-gap-ms': 250,
        },
        {
            'name': 'r-2',
            'host': 'a.example',
            'path-prefix': '/book/',
            'kind': 'unsafe',
            'timeout-ms': 1500,
            'service': 'desk',
        },
    ],
    'services': [
        {
            'name': 'llm',
            'health-check-path': '/health',
            'connection-limit': 354,
            'cold-per-s': 38.0,
            'engine': ENGINE,
        },
        {'name': 'desk', 'cold-per-s': 0.0},
    ],
    'limits': {'header-bytes': 16384, 'body-bytes': 1000},
    'tenants': [
        {'name': 'w1', 'api-keys': ['k1', 'k2'], 'priority': 1},
        {'name': 'w2', 'api-keys': ['k3']},
    ],
}
# Paths of a configuration's fields, and values of a type that they can't have.
ODD_CHANGES = (
    *((('tenants',), value) for value in (None, {}, '', 0, False)),
    *(
        (('routes', 0, 'allow-anonymous'), value)
        for value in ('false', 'no', [0], None)
    ),
    (('tenants', 0, 'api-keys'), 'abc'),
    (('routes',), {}),
)


def configuration(**changes):
    """Return a copy of the sample with changed top-level fields."""
    return {**copy.deepcopy(CONFIGURATION), **changes}


HEARTBEAT = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold-remaining-ms': 120,
    'sequence': 4,
    'born': 1700,
}


def with_keys(api_keys, **fields):
    """Return a configuration with one workspace that has these keys."""
    return {**fields, 'tenants': [{'name': 'w1', 'api-keys': api_keys}]}


def route(
    *, name, host, prefix, kind, service, timeout_ms, objective_ms, attempts
):
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': host,
        'path-prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout-ms': timeout_ms,
        'target-latency-ms': objective_ms,
        'attempts': attempts,
    }


def resumable(fields, *, pause_ms):
    """Return a route whose streams may be resumed."""
    return {**fields, 'resume-streams': True, 'target-gap-ms': pause_ms}


def split(fields, weights):
    """Return a route that is split over services by their weights."""
    made = {name: fields[name] for name in fields if name != 'service'}
    shares = [
        {'service': service, 'weight': weight}
        for service, weight in weights.items()
    ]
    return {**made, 'traffic-split': shares}


def heartbeat(*, cold_ms, **changes):
    """Return a heartbeat of a server that is cold for some milliseconds."""
    return {**HEARTBEAT, 'cold-remaining-ms': cold_ms, **changes}
