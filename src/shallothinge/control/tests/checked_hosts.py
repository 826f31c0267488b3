"""Safety checks across replicas: applied commands, answers and leaders."""

from shallothinge.consensus import messages
from shallothinge.control.tests import hosts

MAX_DELAY_MS = 20


class History:
    """The commands that any replica applied or acknowledged, and leaders."""

    def __init__(self):
        self.commands = []
        self.acknowledged = {}
        self.leaders = {}

    def check_applied(self, position, command):
        """Check that all replicas apply the same command at a position."""
        if position == len(self.commands):
            self.commands.append(command)
        elif self.commands[position] != command:
            raise AssertionError(f'two commands at position {position}')

    def acknowledge(self, answer, command):
        """Record a command's answer, which is its position counted from 1."""
        position = int(answer) - 1
        if self.commands[position] != command:
            raise AssertionError(f'{command} was not applied at {position}')
        self.acknowledged[position] = command

    def check_leader(self, message):
        """Check that each term has at most one leader."""
        term = (message.cluster_id, message.term)
        known = self.leaders.setdefault(term, message.sender_id)
        if known != message.sender_id:
            raise AssertionError(f'two leaders in term {message.term}')


class CheckedMachine(hosts.RecordingMachine):
    """Records commands and checks them against all other replicas."""

    def __init__(self, *, history):
        super().__init__()
        self._history = history

    def apply(self, *, index, command):
        """Record the command after checking it."""
        self._history.check_applied(len(self.commands), command)
        return super().apply(index=index, command=command)

    def restore(self, data):
        """Restore the commands from a snapshot and check them."""
        super().restore(data)
        for position, command in enumerate(self.commands):
            self._history.check_applied(position, command)


class CheckedNetwork(hosts.Hosts):
    """Hosts whose connections delay messages but keep their order."""

    def __init__(self, *, history, rng, **kwargs):
        self._history = history
        self._delays = rng
        self._due_s = {}
        super().__init__(**kwargs)
        self._rng = rng

    def send(self, sender_id, target_id, message):
        """Deliver a message after a random delay unless an end is isolated."""
        if isinstance(
            message, (messages.AppendRequest, messages.SnapshotChunk)
        ):
            self._history.check_leader(message)
        if self.isolated & {sender_id, target_id}:
            return False
        now_s = self.reactor.seconds()
        due_s = now_s + self._delays.randint(1, MAX_DELAY_MS) / 1000
        due_s = max(due_s, self._due_s.get((sender_id, target_id), 0.0))
        self._due_s[sender_id, target_id] = due_s
        self.deliver_later(due_s - now_s, sender_id, target_id, message)
        return True
