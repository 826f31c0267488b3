"""Request classes, their fair-share weights and engine priorities."""

import enum


class RequestClass(enum.Enum):
    """How urgent a request is."""

    INTERACTIVE = 'interactive'
    STANDARD = 'standard'
    BATCH = 'batch'


CLASS_WEIGHTS = {
    RequestClass.INTERACTIVE: 16,
    RequestClass.STANDARD: 4,
    RequestClass.BATCH: 1,
}

ENGINE_PRIORITIES = {
    RequestClass.INTERACTIVE: 0,
    RequestClass.STANDARD: 10,
    RequestClass.BATCH: 20,
}

LONG_PRIORITY_OFFSET = 5


def engine_priority(*, request_class: RequestClass, is_long: bool) -> int:
    """Return the engine priority; lower values are scheduled first."""
    priority = ENGINE_PRIORITIES[request_class]
    return priority + LONG_PRIORITY_OFFSET if is_long else priority
