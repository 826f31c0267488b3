"""Replicas that are watched: what they applied, acknowledged and led."""

from shallothinge.consensus import messages
from shallothinge.control.tests import hosts

MAX_DELAY_MS = 20


class History:
    """What all replicas together have applied and acknowledged."""

    def __init__(self):
        self.commands = []
        self.acknowledged = {}
        self.leaders = {}

    def follow(self, position, command):
        """Check a command against what was applied at its position."""
        if position == len(self.commands):
            self.commands.append(command)
        elif self.commands[position] != command:
            raise AssertionError(f'two commands at position {position}')

    def acknowledge(self, answer, command):
        """Note the answer to a command, its position counted from 1."""
        position = int(answer) - 1
        if self.commands[position] != command:
            raise AssertionError(f'{command} was not applied at {position}')
        self.acknowledged[position] = command

    def check_leader(self, message):
        """Check that each term has one leader."""
        term = (message.cluster_id, message.term)
        known = self.leaders.setdefault(term, message.sender_id)
        if known != message.sender_id:
            raise AssertionError(f'two leaders in term {message.term}')


class Machine(hosts.Journal):
    """A journal that is checked against those of all other replicas."""

    def __init__(self, *, history):
        super().__init__()
        self._history = history

    def apply(self, *, index, command):
        """Keep the command."""
        self._history.follow(len(self.commands), command)
        return super().apply(index=index, command=command)

    def restore(self, data):
        """Take the commands back."""
        super().restore(data)
        for position, command in enumerate(self.commands):
            self._history.follow(position, command)


class Network(hosts.Hosts):
    """Connections that delay messages and keep their order."""

    def __init__(self, *, history, rng, **kwargs):
        self._history = history
        self._delays = rng
        self._due_s = {}
        super().__init__(**kwargs)
        self._rng = rng

    def send(self, sender_id, target_id, message):
        """Deliver later unless one end is cut off."""
        if isinstance(
            message, (messages.AppendRequest, messages.SnapshotChunk)
        ):
            self._history.check_leader(message)
        if self.cut & {sender_id, target_id}:
            return False
        now_s = self.reactor.seconds()
        due_s = now_s + self._delays.randint(1, MAX_DELAY_MS) / 1000
        due_s = max(due_s, self._due_s.get((sender_id, target_id), 0.0))
        self._due_s[sender_id, target_id] = due_s
        self.deliver_later(due_s - now_s, sender_id, target_id, message)
        return True
