"""Golden sessions: every recorded session comes out the same again."""

import unittest

from testing import golden


class GoldenTest(unittest.TestCase):
    """Replays of the files in ``testing/sessions``."""

    def test_replay_equals_the_file(self):
        sessions = golden.find_sessions()
        self.assertGreaterEqual(len(sessions), 4)
        for session, driver_type in sessions:
            with self.subTest(session=session.path.name):
                lines = session.replay(driver_type=driver_type)
                self.assertEqual(session.lines(), lines)

    def test_a_changed_output_is_noticed(self):
        for session, driver_type in golden.find_sessions():
            with self.subTest(session=session.path.name):
                changed = session.lines()[:-1]
                lines = session.replay(driver_type=driver_type)
                self.assertNotEqual(changed, lines)
