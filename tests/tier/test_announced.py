"""Versions that were announced to a gateway and whose bodies come by another way, or not."""

import testtools

from kestrelbend.tier.configuration.announced import PATIENCE_S, RETRY_S, AnnouncedVersions


class AnnouncedStories(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.announced = AnnouncedVersions()

    def test_given_the_body_comes_in_time_then_nobody_is_asked(self):
        self.announced.announced("a", 5, 0.0)
        self.assertIsNone(self.announced.due(5, PATIENCE_S))
        self.assertIsNone(self.announced.due(5, 10.0))

    def test_given_it_does_not_come_then_announcers_are_asked_in_turn(self):
        self.announced.announced("a", 5, 0.0)
        self.announced.announced("b", 5, 0.01)
        self.assertIsNone(self.announced.due(4, PATIENCE_S - 0.01))
        first = self.announced.due(4, PATIENCE_S)
        self.assertIsNone(self.announced.due(4, PATIENCE_S + 0.01))
        second = self.announced.due(4, PATIENCE_S + RETRY_S)
        self.assertEqual({"a", "b"}, {first, second})

    def test_given_one_who_announced_an_older_version_then_it_is_not_asked(self):
        self.announced.announced("old", 4, 0.0)
        self.announced.announced("new", 5, 0.0)
        asked = {self.announced.due(4, PATIENCE_S + turn * (RETRY_S + 0.01)) for turn in range(4)}
        self.assertEqual({"new"}, asked)
