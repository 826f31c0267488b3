"""Tests of the exchange of load reports between gateways."""

import unittest
from unittest import mock

from twisted.internet import task

from shallothinge import clock
from shallothinge.gateway import peers
from shallothinge.gateway import room
from shallothinge.placement import fleet
from shallothinge.placement import server_queue
from shallothinge.quarantine import state as quarantines
from shallothinge.scheduling import demand
from shallothinge.scheduling import messages as demand_messages
from shallothinge.scheduling import model
from shallothinge.transport import endpoint

# A request at a peer: service, urgency, above its share, times, number.
WAITING = ('llm', 1, False, 500, 5000, 1)
OWN, OTHER, THIRD = 'tcp://own', 'tcp://other', 'tcp://third'


class Link:
    """A link that tests open; messages sent before that are lost."""

    def __init__(self, on_reset):
        self.on_reset = on_reset
        self.is_open = False
        self.sent = []

    def send(self, message):
        """Store a message if the link is open; return whether it is."""
        if self.is_open:
            self.sent.append(message)
        return self.is_open

    def close(self):
        """Close the link."""
        self.is_open = False


class PeersTest(unittest.TestCase):
    """One gateway whose list of peers changes."""

    def setUp(self):
        self.reactor = task.Clock()
        self.clock = clock.ManualClock(start_ms=1000)
        self.links = {}
        process = mock.Mock(reactor=self.reactor)
        process.connect.side_effect = self.connect
        self.holder = mock.Mock(peers=(OWN,), on_peers_changed=None)
        self.load = fleet.FleetLoad(clock=self.clock)
        self.quarantine = quarantines.PartQuarantine(clock=self.clock)
        self.room = room.RoomQueue(
            clock=self.clock,
            reactor=process.reactor,
            load=self.load,
            own_id=OWN,
        )
        self.peers = peers.Peers(
            process=process,
            holder=self.holder,
            load=self.load,
            quarantine=self.quarantine,
            limits=mock.Mock(
                **{
                    'report.return_value': None,
                    'repeat_as_complete_report.return_value': None,
                }
            ),
            room=self.room,
            address=OWN,
        )
        self.peers.start()

    def connect(self, *, address, role, on_message, on_reset):
        if not address.startswith('tcp://'):
            raise ValueError('injected: not an address')
        self.links[address] = Link(on_reset)
        return self.links[address]

    def list_peers(self, *addresses):
        self.holder.peers = (OWN, *addresses)
        self.holder.on_peers_changed()

    def start_work(self):
        self.load.start(
            server_queue.Work(server_id='s', read_ms=100.0, started_ms=1000)
        )

    def heard_from(self, link):
        """Return the load that a peer computes from its received reports."""
        heard = fleet.FleetLoad(clock=self.clock)
        for report in link.sent:
            heard.apply_report(peer='own', report=report)
        return heard

    def test_reports_go_on_after_one_that_raised_an_exception(self):
        # A number of over 64 bits ended them for good.
        self.list_peers(OTHER)
        self.links[OTHER].is_open = True
        for name in ('load', 'quarantine'):
            source = getattr(self, name)
            with self.subTest(name):
                fault = mock.Mock(side_effect=OverflowError('injected'))
                with mock.patch.object(source, 'report', fault):
                    self.reactor.advance(1.1)
                del self.links[OTHER].sent[:]
                self.reactor.advance(1.1)
                self.assertTrue(self.links[OTHER].sent)

    def test_peer_without_an_address_costs_no_other_its_reports(self):
        # Those behind it in the list were never connected to.
        odd = ('', 'odd', *map(str, range(20)))
        self.list_peers(*odd, OTHER, THIRD)
        self.assertEqual({OTHER, THIRD}, set(self.links))
        for address in (OTHER, THIRD):
            self.links[address].is_open = True
        self.start_work()
        self.reactor.advance(2.1)
        for address in (OTHER, THIRD):
            self.assertTrue(self.links[address].sent)

    def test_peer_gets_a_complete_report_once_it_can_be_reached(self):
        # Without the initial report, gateways that restart together place
        # their first requests up to a second before they learn of each
        # other's.
        self.start_work()
        self.list_peers(OTHER)
        self.reactor.advance(0.1)
        self.links[OTHER].is_open = True
        self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        heard = self.heard_from(self.links[OTHER])
        self.assertEqual(1, heard.peer_count)
        self.assertEqual({'s'}, set(heard.loads()))

    def test_reports_after_the_first_one_leave_no_gap(self):
        self.list_peers(OTHER)
        self.links[OTHER].is_open = True
        self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        self.start_work()
        self.reactor.advance(peers.URGENT_DELAY_MS / 1000)
        heard = self.heard_from(self.links[OTHER])
        self.assertEqual(1, heard.peer_count)
        self.assertEqual({'s'}, set(heard.loads()))

    def test_peer_that_joins_leaves_no_gap_for_the_others(self):
        self.list_peers(OTHER)
        self.links[OTHER].is_open = True
        self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        self.list_peers(OTHER, THIRD)
        self.links[THIRD].is_open = True
        self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        self.start_work()
        self.reactor.advance(peers.URGENT_DELAY_MS / 1000)
        for address in (OTHER, THIRD):
            with self.subTest(address):
                heard = self.heard_from(self.links[address])
                self.assertEqual(1, heard.peer_count)
                self.assertEqual({'s'}, set(heard.loads()))

    def test_restarted_peer_gets_a_complete_report_again(self):
        self.list_peers(OTHER)
        link = self.links[OTHER]
        link.is_open = True
        self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        self.start_work()
        self.reactor.advance(peers.URGENT_DELAY_MS / 1000)
        link.sent.clear()
        link.on_reset()
        self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        heard = self.heard_from(link)
        self.assertEqual(1, heard.peer_count)
        self.assertEqual({'s'}, set(heard.loads()))

    def test_peer_that_can_not_be_reached_is_not_tried_without_end(self):
        self.list_peers(OTHER)
        link = self.links[OTHER]
        attempts = mock.Mock(side_effect=link.send)
        link.send = attempts
        for _ in range(200):
            self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        most = 4 + peers.FULL_REPORT_INTERVAL_MS // peers.JOIN_POLL_MS
        self.assertLessEqual(attempts.call_count, most + 4)

    def test_peer_that_is_not_listed_any_more_gets_no_reports(self):
        self.list_peers(OTHER)
        link = self.links[OTHER]
        link.is_open = True
        self.list_peers()
        self.start_work()
        self.reactor.advance(1.0)
        self.assertEqual([], link.sent)

    def test_reports_of_peers_count(self):
        other = fleet.FleetLoad(clock=self.clock)
        other.start(
            server_queue.Work(server_id='s', read_ms=1.0, started_ms=1000)
        )
        self.peers.receive(
            endpoint.Peer(
                route=b'r', process_id='g2', role='entry', incarnation='1'
            ),
            other.report(complete=True),
        )
        self.assertEqual({'s'}, set(self.load.loads()))

    def receive_demand(self, *waiting, sequence=1):
        """Receive the report of what waits at a peer."""
        self.peers.receive(
            endpoint.Peer(
                route=b'r', process_id='g2', role='entry', incarnation='1'
            ),
            demand_messages.DemandReported(sequence=sequence, waiting=waiting),
        )

    def reported_after_ms(self, link):
        """Return the time until the next load report with an end."""
        for passed_ms in range(1, peers.FULL_REPORT_INTERVAL_MS):
            self.clock.advance(duration_ms=1)
            self.reactor.advance(0.001)
            if any(getattr(one, 'ended', ()) for one in link.sent):
                return passed_ms
        return None

    def test_free_slot_is_reported_at_once_while_requests_wait_at_a_peer(self):
        for waiting, expected_ms in (
            ((), peers.BATCH_DELAY_MS),
            ((WAITING,), peers.URGENT_DELAY_MS),
        ):
            with self.subTest(waiting=waiting):
                self.setUp()
                self.list_peers(OTHER)
                link = self.links[OTHER]
                link.is_open = True
                self.start_work()
                self.reactor.advance(0.1)
                del link.sent[:]
                self.receive_demand(*waiting)
                self.load.end(1)
                self.assertEqual(expected_ms, self.reported_after_ms(link))

    def test_peer_that_joins_learns_what_waits(self):
        # Guards against slots that it takes before the next report.
        self.room.join(
            model.WaitingRequest(
                service='llm',
                urgency=1,
                workspace='w1',
                due_ms=9000,
                abandon_ms=9000,
                min_service_ms=1.0,
            )
        )
        self.reactor.advance(0.05)
        self.list_peers(OTHER)
        link = self.links[OTHER]
        link.is_open = True
        self.reactor.advance(peers.JOIN_POLL_MS / 1000)
        heard = demand.PeerDemand(clock=self.clock)
        for report in link.sent:
            if isinstance(report, demand_messages.DemandReported):
                heard.apply_report(report, peer_id='own')
        self.assertTrue(heard.has_demand('llm'))

    def test_demand_of_a_peer_expires(self):
        self.receive_demand(WAITING)
        self.assertTrue(self.room.has_demand('llm'))
        self.clock.advance(duration_ms=demand.DEMAND_TTL_MS + 1)
        self.assertFalse(self.room.has_demand('llm'))
