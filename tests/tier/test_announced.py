"""Fetching of announced configuration versions whose bodies did not arrive by the stream."""

import testtools

from kestrelbend.tier.configuration.announced_versions import (
    FETCH_DELAY_S,
    FETCH_INTERVAL_S,
    AnnouncedVersions,
)


class AnnouncedVersionsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.announced = AnnouncedVersions()

    def test_no_fetch_if_the_body_arrives_in_time(self):
        self.announced.record("a", 5, 0.0)
        self.assertIsNone(self.announced.next_fetch_address(5, FETCH_DELAY_S))
        self.assertIsNone(self.announced.next_fetch_address(5, 10.0))

    def test_missing_body_is_fetched_from_the_announcers_in_turn(self):
        self.announced.record("a", 5, 0.0)
        self.announced.record("b", 5, 0.01)
        self.assertIsNone(self.announced.next_fetch_address(4, FETCH_DELAY_S - 0.01))
        first = self.announced.next_fetch_address(4, FETCH_DELAY_S)
        self.assertIsNone(self.announced.next_fetch_address(4, FETCH_DELAY_S + 0.01))
        second = self.announced.next_fetch_address(4, FETCH_DELAY_S + FETCH_INTERVAL_S)
        self.assertEqual({"a", "b"}, {first, second})

    def test_announcer_of_an_older_version_is_not_asked(self):
        self.announced.record("old", 4, 0.0)
        self.announced.record("new", 5, 0.0)
        asked = {
            self.announced.next_fetch_address(4, FETCH_DELAY_S + turn * (FETCH_INTERVAL_S + 0.01))
            for turn in range(4)
        }
        self.assertEqual({"new"}, asked)
