"""Tests of the order in which outage orders may be accepted."""

import unittest

from shallothinge.control import revisions
from shallothinge.operators import messages

EPOCH = 'e1'


def zone(out, *, revision=0, epoch=EPOCH, name='z1'):
    """Return an order about a zone."""
    return messages.SetZone(
        order_id='o',
        operator='a',
        zone=name,
        out=out,
        epoch=epoch,
        revision=revision,
    )


def server(out, *, revision=0, name='z1'):
    """Return an order about a server."""
    return messages.SetServer(
        order_id='o',
        operator='a',
        server_id=name,
        out=out,
        epoch=EPOCH,
        revision=revision,
    )


def member(*, revision=0, **ids):
    """Return a change of the control hosts."""
    return messages.ChangeMembers(
        order_id='o', operator='a', epoch=EPOCH, revision=revision, **ids
    )


class RevisionsTest(unittest.TestCase):
    """Orders that were overtaken by an opposite one."""

    def test_order_is_overtaken_by_a_later_opposite_one_only(self):
        # accepted before, order, whether it was overtaken
        rows = (
            ((), zone(False), False),
            ((zone(True),), zone(False, revision=1), False),
            ((zone(True),), zone(False, revision=0), True),
            ((zone(True),), zone(True, revision=0), False),
            ((zone(True), zone(False)), zone(True, revision=1), True),
            ((zone(True), zone(False)), zone(False, revision=0), False),
            ((zone(True),), zone(False, name='z2'), False),
            ((zone(True),), server(False), False),
            ((server(True),), server(False), True),
            ((member(add_id='c9'),), member(remove_id='c9'), True),
            ((member(remove_id='c9'),), member(add_id='c9'), True),
            ((member(add_id='c8'),), member(remove_id='c9'), False),
            # Read from another leader, whose orders aren't counted here.
            ((), zone(False, epoch='e0'), True),
            # A former release states no revision.
            ((zone(True),), zone(False, epoch=''), False),
            # An order of another kind.
            ((zone(True),), messages.FoundCluster, False),
        )
        for accepted, order, expected in rows:
            with self.subTest(accepted=accepted, order=order):
                counted = revisions.Revisions(epoch=EPOCH)
                for one in accepted:
                    counted.accept(one)
                self.assertEqual(expected, counted.is_overtaken(order))

    def test_log_holds_orders_as_former_releases_write_them(self):
        order = zone(True, revision=7)
        plain = zone(True, epoch='')
        self.assertEqual(plain, revisions.without_revision(order))
        # The fingerprint of an order is a hash of this text.
        self.assertEqual(repr(plain), repr(order))
