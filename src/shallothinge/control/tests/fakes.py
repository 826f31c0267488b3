"""An in-memory replicated log, and a test bench for the control server."""

from cryptography.hazmat.primitives.asymmetric import ed25519
from twisted.internet import defer

from shallothinge import clock
from shallothinge.bundles import signatures
from shallothinge.control import server
from shallothinge.control import state
from shallothinge.leases import messages as leases
from shallothinge.operators import messages as operators
from shallothinge.settings import model
from shallothinge.transport import endpoint

PRIVATE_KEYS = {'amina': '11' * 32, 'baraka': '22' * 32}


def public_key(name: str) -> str:
    """Return the public key of a test operator, in hex."""
    key = ed25519.Ed25519PrivateKey.from_private_bytes(
        bytes.fromhex(PRIVATE_KEYS[name])
    )
    return key.public_key().public_bytes_raw().hex()


class LogInMemory:
    """A single replica that commits at once while ``is_leader`` is set.

    With ``holds_reads`` set, read confirmations wait for
    ``release_reads``.
    """

    def __init__(self, *, machine):
        self.machine = machine
        self.is_leader = True
        self.leader_id = 'c1'
        self.elected_ms = 0
        self.holds_reads = False
        self.commands = []
        self.reads = 0
        self._held = []

    def propose(self, command):
        """Commit and apply a command at once."""
        if not self.is_leader:
            return defer.fail(RuntimeError('not the leader'))
        self.commands.append(command)
        answer = self.machine.apply(index=len(self.commands), command=command)
        return defer.succeed(answer)

    def confirm_read(self):
        """Confirm leadership at once, or on ``release_reads``."""
        self.reads += 1
        if not self.holds_reads:
            return defer.succeed(None)
        self._held.append(defer.Deferred())
        return self._held[-1]

    def release_reads(self, *, error=None):
        """Fire the held confirmations, with an error if one is given."""
        held, self._held = self._held, []
        for confirmed in held:
            if error is None:
                confirmed.callback(None)
            else:
                confirmed.errback(error)

    def dump(self):
        """Return an empty dump."""
        return {}


class Bench:
    """A control server with its clock, log and sent messages."""

    def __init__(self):
        self.clock = clock.ManualClock(start_ms=1_000_000)
        self.machine = state.ControlState()
        self.log = LogInMemory(machine=self.machine)
        self.sent = []
        self.settings = model.ControlSettings(
            process=model.ProcessSettings(
                process_id='c1',
                zone='a',
                host='h1',
                address='tcp://127.0.0.1:*',
                key_file='k',
                trust_file='t',
            ),
            log=model.LogSettings(data_folder='d'),
            control_hosts=(),
            operators=tuple(
                model.OperatorKey(name=name, public_key=public_key(name))
                for name in PRIVATE_KEYS
            ),
        )
        self.server = server.ControlServer(
            log=self.log,
            machine=self.machine,
            settings=self.settings,
            clock=self.clock,
            wall_clock=self.clock,
            send=self._record_sent,
            incarnation='1',
        )
        self._order_number = 0

    def _record_sent(self, *, route, message):
        self.sent.append(message)
        return True

    def ask(self, message, *, role, process_id='p1', incarnation='1'):
        """Deliver a message to the server and return the last answer."""
        self.sent.clear()
        peer = endpoint.Peer(
            route=process_id.encode(),
            role=role,
            process_id=process_id,
            incarnation=incarnation,
        )
        self.server.receive(peer, message)
        return self.sent[-1] if self.sent else None

    def order_id(self):
        """Return a new order id."""
        self._order_number += 1
        return f'o{self._order_number}'

    def submit(self, content, *, operator='amina', **fields):
        """Submit a bundle and return the answer."""
        content_hash = signatures.hash_content(content)
        return self.ask(
            operators.SubmitBundle(
                order_id=fields.pop('order_id', None) or self.order_id(),
                operator=operator,
                content=content,
                content_hash=content_hash,
                signature=signatures.sign(
                    private_key=PRIVATE_KEYS[operator],
                    purpose=signatures.SUBMIT_PURPOSE,
                    content_hash=content_hash,
                ),
            ),
            role='operator',
        )

    def sign_off(self, content, *, operator='baraka'):
        """Sign off a bundle and return the answer."""
        content_hash = signatures.hash_content(content)
        return self.ask(
            operators.SignOffBundle(
                order_id=self.order_id(),
                operator=operator,
                content_hash=content_hash,
                signature=signatures.sign(
                    private_key=PRIVATE_KEYS[operator],
                    purpose=signatures.SIGN_OFF_PURPOSE,
                    content_hash=content_hash,
                ),
            ),
            role='operator',
        )

    def roll(self, content, *, order_id=None):
        """Roll a bundle and return the answer."""
        return self.ask(
            operators.RollBundle(
                order_id=order_id or self.order_id(),
                operator='amina',
                content_hash=signatures.hash_content(content),
            ),
            role='operator',
        )

    def put_in_force(self, content):
        """Submit, sign off and roll a bundle; return the last answer."""
        self.submit(content)
        self.sign_off(content)
        return self.roll(content)

    def set_zone(self, zone, *, out):
        """Take a zone out of service or back in; return the answer."""
        return self.ask(
            operators.SetZone(
                order_id=self.order_id(), operator='amina', zone=zone, out=out
            ),
            role='operator',
        )

    def in_force(self, state_version):
        """Ask whether a version is in force everywhere."""
        return self.ask(
            operators.InForceRequested(
                request_id='r', state_version=state_version
            ),
            role='operator',
        )

    def lease(self, holder, *, role='entry', process_id='e1'):
        """Request a lease for a holder, apply the grant, return the answer."""
        request = holder.next_request()
        answer = self.ask(
            request,
            role=role,
            process_id=process_id,
            incarnation=request.incarnation,
        )
        if isinstance(answer, leases.LeaseGranted):
            holder.apply_grant(answer)
        return answer
