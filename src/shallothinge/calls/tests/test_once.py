"""Tests of the record of claims that an agent has sent."""

import unittest

from hypothesis import given
from hypothesis import strategies

from shallothinge.calls import once


class ClaimLogTest(unittest.TestCase):
    """Claims in any order, with fewer records than claims."""

    @given(strategies.lists(strategies.integers(1, 30), max_size=60))
    def test_no_claim_is_sent_twice(self, indexes):
        log = once.ClaimLog(max_claims=5)
        sent = []
        for index in indexes:
            if log.may_send(claim_index=index):
                log.sending(claim_index=index)
                sent.append(index)
        self.assertEqual(len(set(sent)), len(sent))
